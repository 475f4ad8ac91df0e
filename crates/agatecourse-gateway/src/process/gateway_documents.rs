use super::document_exchange::{FetchEnd, NewerDocuments, Upload, UploadDecision, UploadRequest};
use super::{Document, DocumentId, Gateway};
use slog::info;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

impl Gateway {
    /// Records whether the source of documents can be reached.
    pub fn set_source_lost(&self, is_lost: bool) {
        self.is_source_lost.set(is_lost);
        if !is_lost {
            self.last_source_answer.set(Instant::now());
        }
    }

    /// Returns whether the source of documents is unreachable.
    pub fn is_source_lost(&self) -> bool {
        self.is_source_lost.get()
    }

    /// Returns the time since the source of documents last answered this node, or since the start of the process.
    pub(crate) fn source_answer_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_source_answer.get())
    }

    /// Decides whether this node may get documents from nodes that follow the source for all, in place of the source, and returns it.
    pub fn update_reliance_on_relays(&self, now: Instant) -> bool {
        let settings = &self.settings;
        let relies = !self.is_source_lost()
            && self.members.borrow().has_source_relays(now, &settings.node, settings.capacity);
        if self.relies_on_relays.replace(relies) != relies {
            info!(self.log, "source relays changed"; "relies_on_relays" => relies);
        }
        relies
    }

    /// Returns whether this node gets documents from nodes that follow the source for all.
    pub fn relies_on_relays(&self) -> bool {
        self.relies_on_relays.get()
    }

    /// Returns whether other nodes wait for this one to announce new documents.
    pub fn has_relying_nodes(&self) -> bool {
        !self.relies_on_relays() && self.members.borrow().has_relying_nodes(Instant::now())
    }

    /// Returns whether this node checks for all others whether the source of documents still answers.
    pub fn is_source_sentinel(&self, now: Instant) -> bool {
        !self.relies_on_relays()
            && self.members.borrow().is_source_sentinel(now, &self.settings.node)
    }

    /// Returns the version that peers have had of a document for longer than the source needs to deliver it, if it is newer than the
    /// version of this node.
    pub fn overdue_version(&self, now: Instant, id: DocumentId) -> Option<u64> {
        self.newer_documents.overdue_version(id, self.documents.borrow().version(id), now)
    }

    /// Sets the handler for documents fetched from peers.
    pub fn on_peer_document(&self, handler: impl Fn(DocumentId, &Document) + 'static) {
        *self.document_handler.borrow_mut() = Some(Box::new(handler));
    }

    /// Stores a document so that peers can fetch it; returns false if it is not newer than the stored one.
    pub fn put_document(&self, id: DocumentId, document: Document) -> bool {
        let version = document.version;
        let is_new = self.documents.borrow_mut().put(id, document);
        self.newer_documents.record_own_version(id, version);
        // Nodes that rely on this one wait for its next heartbeat, which announces all documents that have changed together.
        if is_new && !self.is_source_lost() && self.has_relying_nodes() {
            self.has_news.set(true);
        }
        is_new
    }

    /// Returns whether a document has become newer since the last call that other nodes wait for.
    pub(super) fn take_news(&self) -> bool {
        self.has_news.take()
    }

    /// Restricts a document to be fetched from peers only while its source is unreachable.
    pub fn limit_peer_fetch_to_outages(&self, id: DocumentId) {
        self.newer_documents.limit_fetch_to_outages(id);
    }

    /// Returns the record of documents that are newer on peers.
    pub(super) fn newer_documents(&self) -> &NewerDocuments {
        &self.newer_documents
    }

    /// Records the end of a fetch from a peer.
    pub(super) fn finish_fetch(&self, id: DocumentId, from: Ipv4Addr, end: &FetchEnd) {
        let own = self.documents.borrow().version(id);
        self.newer_documents.finish_fetch(Instant::now(), id, from, end, own);
        let result = match end {
            FetchEnd::Taken { .. } => "taken",
            FetchEnd::Busy { .. } => "busy",
            FetchEnd::Failed => "failed",
        };
        self.metrics.documents.fetches.with_label_values(&[result]).inc();
    }

    /// Decides whether a peer gets a document.
    pub(super) fn admit_upload(&self, request: &UploadRequest) -> UploadDecision {
        let decision = self.document_uploads.borrow_mut().admit(Instant::now(), request);
        if matches!(decision, UploadDecision::Send(_)) {
            self.metrics.documents.upload_bytes.inc_by(request.bytes as u64);
        } else {
            self.metrics.documents.uploads.with_label_values(&["busy"]).inc();
        }
        decision
    }

    /// Records the end of an upload.
    pub(super) fn finish_upload(&self, upload: &Upload, is_complete: bool) {
        self.document_uploads.borrow_mut().finish(upload, is_complete);
        let result = if is_complete { "sent" } else { "failed" };
        self.metrics.documents.uploads.with_label_values(&[result]).inc();
    }

    /// Returns the time for which documents that peers have asked for still fill the link of this VM.
    pub(super) fn upload_backlog(&self, now: Instant) -> Duration {
        self.document_uploads.borrow().backlog(now)
    }

    /// Logs what peers were sent since the last call, if they asked for anything.
    pub(super) fn log_uploads(&self) {
        let report = self.document_uploads.borrow_mut().take_report();
        if let Some(report) = report {
            info!(self.log, "documents sent to peers"; "sent" => report.sent, "busy" => report.busy,
                "failed" => report.failed, "bytes" => report.bytes,
                "backlog_ms" => report.backlog.as_millis() as u64);
        }
    }

    /// Sets the metrics of the documents that nodes hand on.
    pub(super) fn update_document_metrics(&self, now: Instant) {
        let metrics = &self.metrics.documents;
        metrics.lag_seconds.set(self.newer_documents.lag(now).as_secs_f64());
        metrics.upload_backlog_seconds.set(self.upload_backlog(now).as_secs_f64());
        metrics.source_answer_age_seconds.set(self.source_answer_age(now).as_secs_f64());
    }

    /// Passes a document fetched from a peer to the adapter's handler.
    pub(crate) fn accept_document(&self, id: DocumentId, document: &Document) {
        if let Some(handler) = self.document_handler.borrow().as_ref() {
            handler(id, document);
        }
    }
}
