use crate::process::DocumentId;
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Share of the link that documents for peers may take; the rest is for the node's own messages and its callers.
const LINK_SHARE: f64 = 0.5;
/// Longest time for which a peer waits for the documents before its own; it asks another node instead if that takes longer.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(60);
/// Longest wait of a peer of an earlier version, which gives up after a second and is not told whom to ask instead.
pub(super) const MAX_WAIT_OF_EARLIER_VERSION: Duration = Duration::from_millis(500);
/// Bytes of a document that are sent at once, so that messages of the node get between them.
pub(in crate::process) const CHUNK_BYTES: usize = 16 * 1024;
/// Nodes that got a version from this one and are remembered.
const MAX_HOLDERS: usize = 16;
/// Nodes that are named to a peer that is turned away.
const MAX_NAMED_HOLDERS: usize = 4;

/// Document that a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::process) struct UploadRequest {
    pub(in crate::process) id: DocumentId,
    pub(in crate::process) version: u64,
    /// Size of the document as it would be sent.
    pub(in crate::process) bytes: usize,
    pub(in crate::process) peer: Ipv4Addr,
    /// Longest time for which the peer waits for the documents before its own.
    pub(in crate::process) max_wait: Duration,
}

/// Document that is sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::process) struct Upload {
    pub(in crate::process) id: DocumentId,
    pub(in crate::process) version: u64,
    pub(in crate::process) peer: Ipv4Addr,
    /// Time from which it may be sent.
    pub(in crate::process) starts_at: Instant,
    /// Bytes per second at which it is sent; `None` for as fast as the link takes it.
    pub(in crate::process) bytes_per_s: Option<f64>,
}

impl Upload {
    /// Returns the time from which the bytes after the first `sent` may be sent.
    pub(in crate::process) fn due(&self, sent: usize) -> Instant {
        let takes = self.bytes_per_s.map(|rate| Duration::from_secs_f64(sent as f64 / rate));
        self.starts_at + takes.unwrap_or_default()
    }
}

/// Answer to a peer that asks for a document.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::process) enum UploadDecision {
    /// The document is sent.
    Send(Upload),
    /// The link has enough to do for `retry_after`; the holders have got the version from this node.
    Busy { retry_after: Duration, holders: SmallVec<[Ipv4Addr; 4]> },
}

/// What was sent to peers since the last report.
#[derive(Debug, Clone, Default, PartialEq)]
pub(in crate::process) struct UploadReport {
    /// Documents that peers were sent.
    pub(in crate::process) sent: usize,
    /// Requests that were turned away because the link was busy.
    pub(in crate::process) busy: usize,
    /// Documents whose peer left before their end.
    pub(in crate::process) failed: usize,
    pub(in crate::process) bytes: usize,
    /// Longest time that the documents which were accepted took to send.
    pub(in crate::process) backlog: Duration,
}

/// Nodes that got a version of a document from this node, the latest last.
#[derive(Debug, Default)]
struct Holders {
    version: u64,
    addresses: VecDeque<Ipv4Addr>,
}

/// Documents that this node sends to peers, one after the other, within a part of its link.
#[derive(Debug)]
pub(in crate::process) struct DocumentUploads {
    /// Bytes per second of the VM's link that documents may take; `None` if its speed is unknown.
    bytes_per_s: Option<f64>,
    /// Time at which all documents that were accepted are sent.
    busy_until: Option<Instant>,
    holders: BTreeMap<DocumentId, Holders>,
    report: UploadReport,
}

impl DocumentUploads {
    /// Creates the state of a node with a link of this speed.
    pub(in crate::process) fn new(link_bytes_per_s: Option<f64>) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s.map(|rate| rate * LINK_SHARE),
            busy_until: None,
            holders: BTreeMap::new(),
            report: UploadReport::default(),
        }
    }

    /// Decides whether a peer gets a document.
    pub(in crate::process) fn admit(
        &mut self,
        now: Instant,
        request: &UploadRequest,
    ) -> UploadDecision {
        let UploadRequest { id, version, bytes, peer, max_wait } = *request;
        let mut upload = Upload { id, version, peer, starts_at: now, bytes_per_s: None };
        if let Some(rate) = self.bytes_per_s {
            let backlog = self.backlog(now);
            if backlog > max_wait {
                self.report.busy += 1;
                let holders = self.name_holders(id, version, peer);
                return UploadDecision::Busy { retry_after: backlog, holders };
            }
            upload.starts_at = now + backlog;
            upload.bytes_per_s = Some(rate);
            let ends_at = upload.due(bytes);
            self.busy_until = Some(ends_at);
            let taken = ends_at.saturating_duration_since(now);
            self.report.backlog = self.report.backlog.max(taken);
        }
        self.report.bytes += bytes;
        UploadDecision::Send(upload)
    }

    /// Records the end of an upload.
    pub(in crate::process) fn finish(&mut self, upload: &Upload, is_complete: bool) {
        if !is_complete {
            self.report.failed += 1;
            return;
        }
        self.report.sent += 1;
        let holders = self.holders.entry(upload.id).or_default();
        if upload.version < holders.version {
            return;
        }
        if upload.version > holders.version {
            *holders = Holders { version: upload.version, addresses: VecDeque::new() };
        }
        holders.addresses.retain(|address| *address != upload.peer);
        holders.addresses.push_back(upload.peer);
        if holders.addresses.len() > MAX_HOLDERS {
            holders.addresses.pop_front();
        }
    }

    /// Returns some of the nodes that got a version from this one; each call begins with others.
    fn name_holders(
        &mut self,
        id: DocumentId,
        version: u64,
        peer: Ipv4Addr,
    ) -> SmallVec<[Ipv4Addr; 4]> {
        let Some(holders) = self.holders.get_mut(&id).filter(|known| known.version == version)
        else {
            return SmallVec::new();
        };
        let named = holders.addresses.iter().filter(|address| **address != peer);
        let named: SmallVec<_> = named.take(MAX_NAMED_HOLDERS).copied().collect();
        holders.addresses.rotate_left(named.len().min(holders.addresses.len()));
        named
    }

    /// Returns the time that the documents which were accepted still take to send.
    pub(in crate::process) fn backlog(&self, now: Instant) -> Duration {
        self.busy_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns what was sent since the last call, or `None` if nothing was asked for.
    pub(in crate::process) fn take_report(&mut self) -> Option<UploadReport> {
        let report = std::mem::take(&mut self.report);
        (report != UploadReport::default()).then_some(report)
    }
}
