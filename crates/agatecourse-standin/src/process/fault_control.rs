use crate::process::{Faults, ListenerGuard, RunCounter};
use actix_web::dev::ServerHandle;
use agatecourse_types::stable_hash;
use serde_json::{Map, Value};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Exit status of the stand-in program after an injected crash.
const CRASH_STATUS: i32 = 70;

/// Faults, run counts and server handle of one stand-in, shared by its connections.
#[derive(Debug)]
pub(crate) struct FaultControl {
    faults: Mutex<Faults>,
    supported: &'static [&'static str],
    silence_count: AtomicU64,
    draw_count: AtomicU64,
    runs: Mutex<RunCounter>,
    server: Mutex<Option<(ServerHandle, ListenerGuard)>>,
    exits_on_crash: AtomicBool,
}

impl FaultControl {
    /// Creates the state of a stand-in that supports the given faults in addition to [`Faults::COMMON`].
    pub(crate) fn new(supported: &'static [&'static str]) -> Self {
        Self {
            faults: Mutex::default(),
            supported,
            silence_count: AtomicU64::new(0),
            draw_count: AtomicU64::new(0),
            runs: Mutex::default(),
            server: Mutex::default(),
            exits_on_crash: AtomicBool::new(false),
        }
    }

    /// Returns a copy of the current faults.
    pub(crate) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    /// Replaces the faults that `patch` names; an invalid patch has no effect.
    pub(crate) fn apply_patch(&self, patch: &Map<String, Value>) -> Result<Faults, String> {
        let mut faults = lock(&self.faults);
        let mut merged = faults.merged(patch, self.supported)?;
        if std::mem::take(&mut merged.silence_existing) {
            self.silence_count.fetch_add(1, Ordering::SeqCst);
        }
        faults.clone_from(&merged);
        drop(faults);
        if merged.crash {
            self.crash();
        }
        Ok(merged)
    }

    /// Returns how often `silence_existing` has been set.
    pub(crate) fn silence_count(&self) -> u64 {
        self.silence_count.load(Ordering::SeqCst)
    }

    /// Returns whether to inject a fault that affects the given share of requests.
    ///
    /// The decisions are derived from a counter, so each run has the same sequence.
    pub(crate) fn should_inject(&self, share: f64) -> bool {
        if share <= 0.0 {
            return false;
        }
        let number = self.draw_count.fetch_add(1, Ordering::SeqCst);
        let hash = stable_hash(&[b"fault", &number.to_le_bytes()]);
        (hash as f64) < share * (u64::MAX as f64)
    }

    /// Returns the run counts.
    pub(crate) fn runs(&self) -> MutexGuard<'_, RunCounter> {
        lock(&self.runs)
    }

    /// Returns whether a request body contains the crash marker.
    pub(crate) fn is_crash_marked(&self, body: &[u8]) -> bool {
        let faults = lock(&self.faults);
        let marker = faults.crash_marker.as_deref().map(str::as_bytes);
        marker.is_some_and(|marker| body.windows(marker.len()).any(|window| window == marker))
    }

    /// Stops the stand-in or exits the process at once; in-flight requests get no response.
    pub(crate) fn crash(&self) {
        if self.exits_on_crash.load(Ordering::SeqCst) {
            std::process::exit(CRASH_STATUS);
        }
        self.stop();
    }

    /// Closes the listener and all connections without waiting for in-flight requests.
    pub(crate) fn stop(&self) {
        if let Some((server, listener)) = lock(&self.server).take() {
            // Closed first, because a caller that reconnects must be refused as after a real crash.
            listener.close();
            // The call itself sends the stop command; the returned future only waits for completion.
            drop(server.stop(false));
        }
    }

    /// Makes [`Self::crash`] exit the process.
    pub(crate) fn exit_on_crash(&self) {
        self.exits_on_crash.store(true, Ordering::SeqCst);
    }

    /// Sets the server and the listener that [`Self::stop`] closes.
    pub(crate) fn set_server(&self, server: ServerHandle, listener: ListenerGuard) {
        *lock(&self.server) = Some((server, listener));
    }
}

/// Locks a mutex and ignores poisoning; every holder leaves the state consistent even when it panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
