use crate::process::deployment_settings::API_KEY;
use agatecourse_standin::ServiceAnswer;
use std::fmt::Write;
use std::net::SocketAddr;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// First of the placeholder ports, one for each target, which are replaced once the stand-ins have started.
const FIRST_PLACEHOLDER_PORT: usize = 20_000;

/// Returns the fleet configuration of the demo as INI text; the addresses of the targets are placeholders.
pub(crate) fn fleet_text(engines: usize, services: usize) -> String {
    let mut text = format!(
        "[fleet]\nname = demo\nregion = th-central\nzones = {}\n\n\
         [tier.standard]\nrank = 0\ndeadline_ms = 20000\n\n\
         [organisation.branch]\nrate_per_s = 100000\nconcurrency = 10000\n\n\
         [caller.desk]\norganisation = branch\ntier = standard\nkey_sha256 = {}\n\n\
         [route.quotes]\nkind = model\nidempotent = yes\n\n\
         [route.summaries]\nkind = model\nidempotent = yes\n\n\
         [route.stock]\nkind = service\nidempotent = yes\n\n\
         [route.orders]\nkind = service\nidempotent = no\n",
        ZONES.join(", "),
        ServiceAnswer::hash_body(API_KEY.as_bytes()),
    );
    append_targets(&mut text, "engine", "quotes, summaries", FIRST_PLACEHOLDER_PORT, engines);
    append_targets(
        &mut text,
        "service",
        "stock, orders",
        FIRST_PLACEHOLDER_PORT + engines,
        services,
    );
    text
}

/// Replaces addresses of targets in a fleet configuration; `replaced` holds pairs of old and new address.
pub(crate) fn replace_addresses(text: &str, replaced: &[(SocketAddr, SocketAddr)]) -> String {
    let lines = text.lines().map(|line| {
        let address = line.strip_prefix("address = ").and_then(|value| value.trim().parse().ok());
        let replacement = replaced.iter().find(|(old, _)| Some(*old) == address);
        replacement.map_or_else(|| format!("{line}\n"), |(_, new)| format!("address = {new}\n"))
    });
    lines.collect()
}

fn append_targets(text: &mut String, kind: &str, routes: &str, first_port: usize, count: usize) {
    for index in 0..count {
        let (number, port) = (index + 1, first_port + index);
        let zone = ZONES[index % ZONES.len()];
        // Writing to a `String` never fails.
        let _ = write!(
            text,
            "\n[target.{kind}-{number}]\nroutes = {routes}\nzone = {zone}\n\
             address = 127.0.0.1:{port}\nwrite_tokens_per_s = 100\n"
        );
    }
}
