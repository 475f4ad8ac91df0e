use crate::process::http_endpoint::{ExchangeError, HttpEndpoint, HttpResponse};
use crate::process::table_error::{OutcomeUnknownSnafu, RejectedSnafu, UnavailableSnafu};
use crate::process::table_wire::{
    KeyValue, RangeReply, RangeRequest, TransactionReply, transaction_body,
};
use crate::{CommitReply, TableError, TablePage, TableRow, TableTransaction};
use awc::http::Method;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Larger responses than a page of full rows are rejected, so that a faulty table can't exhaust memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client of the platform's transactional table (etcd v3 JSON mapping).
///
/// The client never retries a request. It can't be sent to another thread, like all `awc` clients.
#[derive(Clone)]
pub struct TableClient {
    endpoint: HttpEndpoint,
    page_rows: usize,
}

impl TableClient {
    /// Creates a client with a timeout of 2 s per exchange and pages of 500 rows.
    pub fn new(address: SocketAddr) -> Self {
        let endpoint = HttpEndpoint::new(address, Duration::from_secs(2));
        Self { endpoint, page_rows: 500 }
    }

    /// Sets the timeout of one exchange; this opens new connections.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.endpoint = self.endpoint.with_timeout(timeout);
        self
    }

    /// Sets the maximum number of rows in the response to one listing request; 0 is taken as 1.
    #[must_use]
    pub fn with_page_rows(mut self, page_rows: usize) -> Self {
        self.page_rows = page_rows.max(1);
        self
    }

    /// Reads one row; `None` when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] when no complete and valid response arrived, and
    /// [`TableError::Rejected`] when the table rejected the request as invalid.
    pub async fn get(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        let reply = self.range(&RangeRequest::single_row(key)).await?;
        Ok(reply.rows.into_iter().next())
    }

    /// Reads all rows whose keys start with a prefix, ordered by key.
    ///
    /// The rows are read in pages and are no consistent snapshot: a row that changes meanwhile is returned in its
    /// old or its new state. Callers that need consistency compare revisions in the following transaction.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`TableClient::get`] for any page; rows read before the error are discarded.
    pub async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let page = self.list_page(prefix, rows.last().map(|row| row.key.as_str())).await?;
            let (more, is_empty) = (page.more, page.rows.is_empty());
            rows.extend(page.rows);
            if !more || is_empty {
                return Ok(rows);
            }
        }
    }

    /// Reads one page of rows whose keys start with a prefix and come after the key `after`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`TableClient::get`].
    pub async fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<TablePage, TableError> {
        let first = match after {
            // The next possible key after `after` is `after` followed by a zero byte.
            Some(key) => [key.as_bytes(), &[0]].concat(),
            None => prefix.as_bytes().to_vec(),
        };
        self.range(&RangeRequest::prefix_page(&first, prefix, self.page_rows)).await
    }

    /// Reads at most `limit` rows with `first <= key < end`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`TableClient::get`].
    pub async fn list_range(
        &self,
        first: &str,
        end: &str,
        limit: usize,
    ) -> Result<TablePage, TableError> {
        self.range(&RangeRequest::range(first.as_bytes(), end.as_bytes(), limit)).await
    }

    /// Executes a transaction and returns whether its conditions were met.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Rejected`] when nothing was applied, and
    /// [`TableError::OutcomeUnknown`] when the transaction may have been applied.
    pub async fn commit(&self, transaction: &TableTransaction) -> Result<CommitReply, TableError> {
        let response = match self.post("/v3/kv/txn", &transaction_body(transaction)).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent(detail)) => return UnavailableSnafu { detail }.fail(),
            Err(ExchangeError::NoResponse(detail)) => return OutcomeUnknownSnafu { detail }.fail(),
        };
        if let Some(error) = not_applied_error(&response) {
            return Err(error);
        }
        let parsed: Option<TransactionReply> =
            serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200);
        let revision = parsed.as_ref().and_then(|reply| reply.header.revision());
        match (parsed, revision) {
            (Some(reply), Some(revision)) => {
                Ok(CommitReply { succeeded: reply.succeeded, revision })
            }
            _ => OutcomeUnknownSnafu { detail: describe_response(&response) }.fail(),
        }
    }

    async fn range(&self, request: &RangeRequest) -> Result<TablePage, TableError> {
        let response = match self.post("/v3/kv/range", request).await {
            Ok(response) => response,
            // A read has no side effects, so a lost response can be reported as unavailable.
            Err(ExchangeError::NotSent(detail) | ExchangeError::NoResponse(detail)) => {
                return UnavailableSnafu { detail }.fail();
            }
        };
        if let Some(error) = not_applied_error(&response) {
            return Err(error);
        }
        let parsed: Option<RangeReply> =
            serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200);
        let page = parsed.and_then(|reply| {
            let rows = reply.kvs.into_iter().map(KeyValue::into_row).collect::<Option<_>>()?;
            Some(TablePage { rows, more: reply.more })
        });
        page.ok_or_else(|| UnavailableSnafu { detail: describe_response(&response) }.build())
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<HttpResponse, ExchangeError> {
        let sent = self.endpoint.request(Method::POST, path).send_json(body);
        self.endpoint.receive(sent, MAX_RESPONSE_BYTES).await
    }
}

/// Returns the error for a response whose status proves that nothing was applied.
fn not_applied_error(response: &HttpResponse) -> Option<TableError> {
    let detail = response.excerpt();
    match response.status {
        429 | 503 => Some(UnavailableSnafu { detail: describe_response(response) }.build()),
        // The table may send 408 or 499 while the transaction is still running.
        408 | 499 => None,
        status @ 400..=498 => Some(RejectedSnafu { status, detail }.build()),
        _ => None,
    }
}

fn describe_response(response: &HttpResponse) -> String {
    format!("status {}: {}", response.status, response.excerpt())
}
