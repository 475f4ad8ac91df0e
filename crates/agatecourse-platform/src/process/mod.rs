//! Clients of the platform's services, which are kept until the process ends.

mod http_endpoint;
mod object_store_client;
mod platform_error;
mod table_client;
mod table_error;
mod table_row;
mod table_transaction;
mod table_wire;
mod vm_list_client;
mod weight_store_client;

pub use object_store_client::ObjectStoreClient;
pub use platform_error::PlatformError;
pub use table_client::TableClient;
pub use table_error::TableError;
pub use table_row::{CommitReply, TablePage, TableRow};
pub use table_transaction::{TableCompare, TableOperation, TableTransaction};
pub use vm_list_client::{VmEntry, VmListClient, VmState};
pub use weight_store_client::{WeightInfo, WeightStoreClient};
