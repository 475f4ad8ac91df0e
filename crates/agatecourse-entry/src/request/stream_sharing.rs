use crate::request::RequestError;
use crate::request::job_progress::{Dispatch, StreamAttachment};
use crate::request::job_task::JobTask;
use crate::request::model_dispatch::{self, EngineRequest};
use crate::request::request_end::RequestEnd;
use agatecourse_core::request::{KeyDecision, decide_key};
use agatecourse_types::{NodeId, RequestId, ResultCode, TargetId};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{DispatchOutcome, Grant, KeyRecord};
use std::time::{Duration, Instant};

// Delays a request by at most one interval, before its first token.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
// The membership protocol replaces a key owner that is unreachable for longer.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Claims the idempotency key of a model request and, if an earlier request holds the key, relays its stream.
///
/// Returns how the relayed request ended, or `None` when this request must be dispatched.
///
/// The stream is always read from the engine, also when the earlier request runs at this node. Otherwise the node
/// would have to buffer the stream for the slower of the two callers.
pub(crate) async fn join_earlier_stream(
    task: &JobTask,
    request: &EngineRequest,
) -> Option<RequestEnd> {
    let key = task.job.key.as_deref().filter(|_| task.job.idempotent)?;
    loop {
        let own_record = key_record(task, None);
        let holder = claim_key(task, key, own_record.clone()).await;
        let live = task.state.cluster.live();
        let targets = &task.job.view.config.targets;
        let is_live = |node: &str| live.contains_key(node);
        match decide_key(&own_record, holder, is_live, |target| targets.contains_key(target)) {
            KeyDecision::Dispatch => {
                task.progress.borrow_mut().attached = None;
                return None;
            }
            KeyDecision::OtherBody => {
                let detail = "the key was used before with another body";
                let error = RequestError::new(ResultCode::KeyReused, detail);
                return Some(RequestEnd::failed(error, DispatchOutcome::NotSent));
            }
            KeyDecision::Attach(KeyRecord { request_id, target: Some(target), .. })
            | KeyDecision::Resume { request_id, target } => {
                return Some(read_earlier_stream(task, request, request_id, target).await);
            }
            KeyDecision::Attach(_) => {
                task.progress.borrow_mut().attached = Some(StreamAttachment::Waiting);
            }
            KeyDecision::Unknown => {
                return Some(earlier_unknown("the earlier request can't be reached"));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Records at the key's owner which target serves the stream of a request, once that target has responded.
pub(crate) fn publish_stream(task: &JobTask, target: &str) {
    task.state.keys.add_reader(task.job.request_id);
    let Some(key) = task.job.key.as_deref().filter(|_| task.job.idempotent) else { return };
    let key_record = key_record(task, Some(target.to_string()));
    if is_key_owner(task, key) {
        task.state.keys.claim(key, key_record);
    } else {
        let message = PeerMessage::KeyRecord { key: key.to_string(), record: Some(key_record) };
        notify_key_owner(task, key, message);
    }
}

/// Releases the key of a request whose stream can no longer be shared.
pub(crate) fn release_key(task: &JobTask, request_id: RequestId) {
    let Some(key) = task.job.key.as_deref().filter(|_| task.job.idempotent) else { return };
    task.state.keys.release(key, request_id);
    if !is_key_owner(task, key) {
        notify_key_owner(task, key, PeerMessage::KeyRelease { key: key.to_string(), request_id });
    }
}

fn key_owner(task: &JobTask, key: &str) -> NodeId {
    task.state.cluster.owner_of(&format!("key/{key}"))
}

fn is_key_owner(task: &JobTask, key: &str) -> bool {
    task.state.cluster.is_self(&key_owner(task, key))
}

/// Claims a key at its owner, or at this node when the owner is unreachable.
///
/// If two nodes can't reach the owner, requests with one key can run at both, which idempotent routes allow.
async fn claim_key(task: &JobTask, key: &str, key_record: KeyRecord) -> KeyRecord {
    if !is_key_owner(task, key) {
        let body =
            PeerMessage::KeyRecord { key: key.to_string(), record: Some(key_record.clone()) };
        let answer = task.state.cluster.call(&key_owner(task, key), body, CLAIM_TIMEOUT).await;
        if let Ok(PeerMessage::KeyRecord { record: Some(holder), .. }) = answer {
            return holder;
        }
    }
    task.state.keys.claim(key, key_record)
}

fn notify_key_owner(task: &JobTask, key: &str, message: PeerMessage) {
    let (state, key_owner) = (task.state.clone(), key_owner(task, key));
    state.clone().runtime.spawn(async move {
        let _ = state.cluster.call_with_retry(&key_owner, message, NOTICE_TIMEOUT).await;
    });
}

async fn read_earlier_stream(
    task: &JobTask,
    request: &EngineRequest,
    earlier: RequestId,
    target: TargetId,
) -> RequestEnd {
    let view = task.state.view().unwrap_or_else(|| task.job.view.clone());
    let Some(address) = view.config.targets.get(&target).map(|target| target.address) else {
        return earlier_unknown("the target of the earlier request is no longer configured");
    };
    let reason = "joined an earlier request with the same key".to_string();
    let version = String::new();
    let grant = Grant { request_id: earlier, target, version, expected: Duration::ZERO, reason };
    let dispatch = Dispatch { grant, target_address: address, dispatched_at: Instant::now() };
    task.state.keys.add_reader(earlier);
    task.progress.borrow_mut().attached = Some(StreamAttachment::Reading(dispatch.clone()));
    model_dispatch::relay_earlier_stream(task, request, &dispatch).await
}

fn key_record(task: &JobTask, target: Option<TargetId>) -> KeyRecord {
    let (request_id, node) = (task.job.request_id, task.state.settings.name.clone());
    KeyRecord { body_hash: task.job.fingerprint, request_id, node, target }
}

fn earlier_unknown(detail: &str) -> RequestEnd {
    RequestEnd::failed(
        RequestError::new(ResultCode::EarlierUnknown, detail),
        DispatchOutcome::NotSent,
    )
}
