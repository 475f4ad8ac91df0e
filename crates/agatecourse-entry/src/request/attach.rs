use crate::request::Refused;
use crate::request::ending::Ending;
use crate::request::job_run::JobRun;
use crate::request::model_run::{self, ChatWork};
use crate::request::progress::{Attached, Dispatch};
use agatecourse_core::request::{KeyDecision, decide_key};
use agatecourse_types::{NodeId, RequestId, ResultCode, TargetId};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{DispatchOutcome, Grant, KeyRecord};
use std::time::{Duration, Instant};

// A caller notices a delay of this size at most once, before the first token.
const POLL: Duration = Duration::from_millis(50);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
// A key owner that can't be reached for longer is replaced by membership.
const NOTICE_PATIENCE: Duration = Duration::from_secs(3);

/// Claims the idempotency key of a model request. Returns the ending when an earlier request holds the key: the
/// stream of that request answers this one. Returns `None` when this request is to be dispatched.
///
/// All streams are read from the engine, also when the earlier request runs at this node, so that a second sender
/// needs neither the memory nor the speed of the first.
pub(crate) async fn join_earlier(run: &JobRun, work: &ChatWork) -> Option<Ending> {
    let key = run.job.key.as_deref().filter(|_| run.job.idempotent)?;
    loop {
        let own = record(run, None);
        let holder = claim(run, key, own.clone()).await;
        let live = run.state.cluster.live();
        let targets = &run.job.view.config.targets;
        let is_live = |node: &str| live.contains_key(node);
        match decide_key(&own, holder, is_live, |target| targets.contains_key(target)) {
            KeyDecision::Dispatch => {
                run.progress.borrow_mut().attached = None;
                return None;
            }
            KeyDecision::OtherBody => {
                let detail = "the key was used before with another body";
                let refused = Refused::new(ResultCode::KeyReused, detail);
                return Some(Ending::failed(refused, DispatchOutcome::NotSent));
            }
            KeyDecision::Attach(KeyRecord { request_id, target: Some(target), .. })
            | KeyDecision::Resume { request_id, target } => {
                return Some(attach(run, work, request_id, target).await);
            }
            KeyDecision::Attach(_) => run.progress.borrow_mut().attached = Some(Attached::Waiting),
            KeyDecision::Unknown => return Some(unknown("the earlier request can't be reached")),
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Notes where the stream of a request can be joined, once its target has answered.
pub(crate) fn publish(run: &JobRun, target: &str) {
    run.state.keys.add_reader(run.job.request_id);
    let Some(key) = run.job.key.as_deref().filter(|_| run.job.idempotent) else { return };
    let record = record(run, Some(target.to_string()));
    if owns(run, key) {
        run.state.keys.claim(key, record);
    } else {
        let message = PeerMessage::KeyRecord { key: key.to_string(), record: Some(record) };
        notify(run, key, message);
    }
}

/// Frees the key of a request whose stream can't be joined any more.
pub(crate) fn release(run: &JobRun, request_id: RequestId) {
    let Some(key) = run.job.key.as_deref().filter(|_| run.job.idempotent) else { return };
    run.state.keys.release(key, request_id);
    if !owns(run, key) {
        notify(run, key, PeerMessage::KeyRelease { key: key.to_string(), request_id });
    }
}

fn owner(run: &JobRun, key: &str) -> NodeId {
    run.state.cluster.owner_of(&format!("key/{key}"))
}

fn owns(run: &JobRun, key: &str) -> bool {
    run.state.cluster.is_self(&owner(run, key))
}

/// Claims a key at its owner. A node that can't reach the owner claims at itself, so that a key that is sent to two
/// such nodes runs twice, which idempotent routes allow.
async fn claim(run: &JobRun, key: &str, record: KeyRecord) -> KeyRecord {
    if !owns(run, key) {
        let body = PeerMessage::KeyRecord { key: key.to_string(), record: Some(record.clone()) };
        let answer = run.state.cluster.call(&owner(run, key), body, CLAIM_TIMEOUT).await;
        if let Ok(PeerMessage::KeyRecord { record: Some(holder), .. }) = answer {
            return holder;
        }
    }
    run.state.keys.claim(key, record)
}

fn notify(run: &JobRun, key: &str, message: PeerMessage) {
    let (state, owner) = (run.state.clone(), owner(run, key));
    state.clone().runtime.spawn(async move {
        let _ = state.cluster.call_with_retry(&owner, message, NOTICE_PATIENCE).await;
    });
}

async fn attach(run: &JobRun, work: &ChatWork, earlier: RequestId, target: TargetId) -> Ending {
    let view = run.state.view().unwrap_or_else(|| run.job.view.clone());
    let Some(address) = view.config.targets.get(&target).map(|target| target.address) else {
        return unknown("the target of the earlier request is no longer configured");
    };
    let reason = "joined an earlier request with the same key".to_string();
    let version = String::new();
    let grant = Grant { request_id: earlier, target, version, expected: Duration::ZERO, reason };
    let dispatch = Dispatch { grant, target: address, at: Instant::now() };
    run.state.keys.add_reader(earlier);
    run.progress.borrow_mut().attached = Some(Attached::Reading(dispatch.clone()));
    model_run::join(run, work, &dispatch).await
}

fn record(run: &JobRun, target: Option<TargetId>) -> KeyRecord {
    let (request_id, node) = (run.job.request_id, run.state.settings.name.clone());
    KeyRecord { body_hash: run.job.fingerprint, request_id, node, target }
}

fn unknown(detail: &str) -> Ending {
    Ending::failed(Refused::new(ResultCode::EarlierUnknown, detail), DispatchOutcome::NotSent)
}
