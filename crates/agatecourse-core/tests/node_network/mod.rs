//! Simulated network of nodes that run membership, alerts and configuration in memory and in simulated time.

mod network;
mod node;

pub use network::{Faults, Network};
pub use node::Node;

/// Returns the text of a valid configuration with `name` as the deployment name.
pub fn config_text(name: &str) -> String {
    format!(
        "[fleet]\nname = {name}\nregion = local\nzones = a\n[tier.urgent]\nrank = 0\n\
         deadline_ms = 30000\n[organisation.branch]\nweight = 2\n[caller.desk]\n\
         organisation = branch\ntier = urgent\nkey_sha256 = {}\n[route.quotes]\nkind = model\n\
         idempotent = yes\n[target.e1]\nroutes = quotes\nzone = a\naddress = 127.0.0.1:9001\n",
        "a".repeat(64)
    )
}
