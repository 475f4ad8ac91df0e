use agatecourse_core::request::journal::{TableRequest, TableResult, TableRow, TableWrite};
use agatecourse_platform::{
    TableClient, TableCompare, TableError, TableOperation, TableTransaction,
};

/// Performs a table request of the core crate, which does no I/O.
///
/// A rejected operation is reported as unavailable: nothing was applied, and the core waits before it retries.
pub(crate) async fn perform_table_request(
    table: &TableClient,
    request: TableRequest,
) -> TableResult {
    let result = match request {
        TableRequest::Get { key } => {
            table.get(&key).await.map(|row| TableResult::Row(row.map(to_core_row)))
        }
        TableRequest::List { from, until, limit } => table
            .list_range(&from, &until, limit)
            .await
            .map(|page| TableResult::Rows(page.rows.into_iter().map(to_core_row).collect())),
        TableRequest::Commit { conditions, writes } => {
            let compares = conditions.into_iter().map(|condition| TableCompare {
                key: condition.key,
                mod_revision: condition.revision,
            });
            let transaction = TableTransaction {
                compares: compares.collect(),
                operations: writes.into_iter().map(table_operation).collect(),
            };
            table.commit(&transaction).await.map(|reply| {
                if reply.succeeded { TableResult::Committed } else { TableResult::Conflict }
            })
        }
    };
    result.unwrap_or_else(|error| match error {
        TableError::OutcomeUnknown { .. } => TableResult::OutcomeUnknown,
        TableError::Unavailable { .. } | TableError::Rejected { .. } => TableResult::Unavailable,
    })
}

fn to_core_row(row: agatecourse_platform::TableRow) -> TableRow {
    TableRow { key: row.key, value: row.value, revision: row.mod_revision }
}

fn table_operation(write: TableWrite) -> TableOperation {
    match write {
        TableWrite::Put { key, value } => TableOperation::Put { key, value },
        TableWrite::Delete { key } => TableOperation::Delete { key },
    }
}
