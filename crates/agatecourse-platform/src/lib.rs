//! HTTP clients for the services of the platform.
//!
//! Each client holds its own connection pool and applies a timeout to each exchange. No client retries: the
//! caller knows whether an operation is idempotent and charges retries to its retry budget.
//!
//! ```no_run
//! use agatecourse_platform::{TableClient, TableTransaction};
//!
//! # async fn example() -> Result<(), agatecourse_platform::TableError> {
//! let table = TableClient::new(([127, 0, 0, 1], 2379).into());
//! let claim = TableTransaction::new().with_absent("config/1").with_put("config/1", "[fleet]");
//! let reply = table.commit(&claim).await?;
//! println!("applied: {}", reply.succeeded);
//! # Ok(())
//! # }
//! ```

mod process;

pub use process::{
    CommitReply, ObjectStoreClient, PlatformError, TableClient, TableCompare, TableError,
    TableOperation, TablePage, TableRow, TableTransaction, VmEntry, VmListClient, VmState,
    WeightInfo, WeightStoreClient,
};
