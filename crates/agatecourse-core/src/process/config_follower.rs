use crate::process::back_off::jittered;
use crate::process::{BackOff, ConfigAction, ConfigEvent};
use agatecourse_config::FleetConfig;
use agatecourse_types::ConfigVersion;
use agatecourse_wire::PeerMessage;
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest interval between two polls of the table; with jitter the mean is 1.9 s, or 190 reads/s at 360 nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(2_500);
/// First backoff delay while the table is unavailable.
const OUTAGE_BACKOFF_BASE: Duration = Duration::from_secs(2);
/// With a longer backoff, a configuration written right after an outage would take more than 5 s to activate.
const OUTAGE_BACKOFF_LIMIT: Duration = Duration::from_secs(4);
/// A response of the table or of a node that takes longer counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Text in one message, which leaves room for its other fields below 64 KiB.
const MAX_CHUNK_BYTES: usize = 60 * 1024;
/// Larger configurations are not fetched from other nodes, so that memory stays bounded.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Transfer of a configuration in chunks from another node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingFetch {
    address: SocketAddr,
    version: ConfigVersion,
    text: String,
    deadline: Instant,
}

/// Keeps the newest valid configuration active, read from the table or fetched from other nodes.
///
/// The version never decreases: an older or equal version is ignored, whatever its source. An invalid
/// configuration is reported once and not activated.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    version: ConfigVersion,
    text: String,
    rejected_version: ConfigVersion,
    fetch: Option<PendingFetch>,
    rng: ChaCha8Rng,
    back_off: BackOff,
    next_poll: Instant,
}

impl ConfigFollower {
    /// Creates a follower without an active configuration, which polls the table immediately.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            version: 0,
            text: String::new(),
            rejected_version: 0,
            fetch: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            back_off: BackOff::new(OUTAGE_BACKOFF_BASE, OUTAGE_BACKOFF_LIMIT),
            next_poll: now,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn on_event(&mut self, now: Instant, event: ConfigEvent, actions: &mut Vec<ConfigAction>) {
        match event {
            ConfigEvent::TableConfig { version, text } => {
                self.schedule_poll(now);
                self.apply(version, text, actions);
            }
            ConfigEvent::TableUnchanged => self.schedule_poll(now),
            ConfigEvent::TableUnavailable => {
                self.next_poll = now + self.back_off.next_delay(&mut self.rng);
            }
            ConfigEvent::HigherConfig { address, version } => {
                self.fetch_if_newer(now, address, version, actions);
            }
            ConfigEvent::CallFailed { address } => {
                self.fetch = self.fetch.take().filter(|fetch| fetch.address != address);
            }
            ConfigEvent::Tick => {}
        }
        if self.fetch.as_ref().is_some_and(|fetch| now >= fetch.deadline) {
            self.fetch = None;
        }
        if now >= self.next_poll {
            self.next_poll = now + RESPONSE_TIMEOUT;
            actions
                .push(ConfigAction::PollTable { above: self.version.max(self.rejected_version) });
        }
    }

    /// Handles the response of the node at `address` to a call.
    pub fn on_message(
        &mut self,
        now: Instant,
        address: SocketAddr,
        message: &PeerMessage,
        actions: &mut Vec<ConfigAction>,
    ) {
        let PeerMessage::Config { version, size_bytes, offset_bytes, text } = message else {
            return;
        };
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.address == address) else { return };
        let size_bytes = *size_bytes as usize;
        if *version != fetch.version {
            // The node has activated another version since the first chunk, so the transfer restarts.
            fetch.text.clear();
            fetch.version = *version;
        }
        let is_next_chunk = *offset_bytes as usize == fetch.text.len();
        if is_next_chunk {
            fetch.text.push_str(text);
        }
        if *version <= self.version
            || size_bytes > MAX_TEXT_BYTES
            || (is_next_chunk && text.is_empty())
        {
            return;
        }
        if fetch.text.len() == size_bytes {
            self.apply(*version, fetch.text, actions);
        } else if fetch.text.len() < size_bytes {
            fetch.deadline = now + RESPONSE_TIMEOUT;
            self.request_chunk(fetch, actions);
        }
    }

    /// Returns the response to a call of another node, or `None` for messages that do not concern configuration.
    pub fn on_call(&self, message: &PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::FetchConfig { at_least, offset_bytes } = message else { return None };
        if self.version == 0 || *at_least > self.version {
            return Some(PeerMessage::Received);
        }
        Some(config_chunk(self.version, &self.text, *offset_bytes))
    }

    /// Returns when the next [`ConfigEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Instant {
        self.fetch.as_ref().map_or(self.next_poll, |fetch| fetch.deadline.min(self.next_poll))
    }

    /// Returns the active version, or 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the text of the active configuration, or an empty text before the first.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn schedule_poll(&mut self, now: Instant) {
        self.back_off.reset();
        self.next_poll = now + jittered(POLL_INTERVAL, &mut self.rng);
    }

    fn fetch_if_newer(
        &mut self,
        now: Instant,
        address: SocketAddr,
        version: ConfigVersion,
        actions: &mut Vec<ConfigAction>,
    ) {
        let is_known = version <= self.version.max(self.rejected_version);
        if is_known || self.fetch.as_ref().is_some_and(|fetch| fetch.version >= version) {
            return;
        }
        let deadline = now + RESPONSE_TIMEOUT;
        self.request_chunk(
            PendingFetch { address, version, text: String::new(), deadline },
            actions,
        );
    }

    fn request_chunk(&mut self, fetch: PendingFetch, actions: &mut Vec<ConfigAction>) {
        let message = PeerMessage::FetchConfig {
            at_least: fetch.version,
            offset_bytes: u32::try_from(fetch.text.len()).unwrap_or(u32::MAX),
        };
        actions.push(ConfigAction::Call { address: fetch.address, message });
        self.fetch = Some(fetch);
    }

    fn apply(&mut self, version: ConfigVersion, text: String, actions: &mut Vec<ConfigAction>) {
        if version <= self.version.max(self.rejected_version) {
            return;
        }
        match FleetConfig::parse(&format!("config/{version}"), &text) {
            Ok(config) => {
                self.version = version;
                self.text = text;
                self.fetch = self.fetch.take().filter(|fetch| fetch.version > version);
                actions.push(ConfigAction::Apply { version, config: Box::new(config) });
            }
            Err(faults) => {
                self.rejected_version = version;
                actions.push(ConfigAction::Rejected { version, faults });
            }
        }
    }
}

/// Returns the message with the chunk of a configuration that starts at `offset_bytes`.
fn config_chunk(version: ConfigVersion, text: &str, offset_bytes: u32) -> PeerMessage {
    // An offset into another version may lie inside a character. The first chunk is sent then, and the receiver
    // restarts the transfer.
    let start = Some(offset_bytes as usize).filter(|start| text.is_char_boundary(*start));
    let start = start.unwrap_or(0);
    let mut end = text.len().min(start + MAX_CHUNK_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    PeerMessage::Config {
        version,
        size_bytes: u32::try_from(text.len()).unwrap_or(u32::MAX),
        offset_bytes: u32::try_from(start).unwrap_or(u32::MAX),
        text: text[start..end].to_string(),
    }
}

#[cfg(test)]
mod tests;
