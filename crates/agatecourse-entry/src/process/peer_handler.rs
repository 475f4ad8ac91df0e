use crate::process::{NodeState, PeerJournalMessage, PoolReply, unused_grant};
use agatecourse_core::request::scheduler::PoolEvent;
use agatecourse_peer::IncomingMessage;
use agatecourse_types::{NodeId, PoolId, RequestId};
use agatecourse_wire::request::{Grant, Ticket};
use agatecourse_wire::{Envelope, PeerMessage};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

// An immediate decision is returned as the answer to the call; later ones are sent as separate messages, so that queued
// requests keep no calls open.
const IMMEDIATE_REPLY_TIMEOUT: Duration = Duration::from_millis(20);
// Enough for a commit. A leaving node can only be answered through its own calls, and during a table outage a longer
// timeout would keep too many of them open.
const JOURNAL_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const REPLY_CHANNEL_CAPACITY: usize = 8;
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a message from another node and returns the answer to the sender's call; `None` leaves it unanswered.
pub(crate) async fn handle(state: Arc<NodeState>, incoming: IncomingMessage) -> Option<Envelope> {
    if let Some(answer) = state.group().handle_incoming(&state, &incoming) {
        return Some(state.cluster.envelope(answer));
    }
    let Envelope { from, body, .. } = incoming.envelope;
    let answer = match body {
        PeerMessage::Submit { pool, ticket } => submit_ticket(&state, from, pool, ticket).await?,
        PeerMessage::Finished { pool, finished } => {
            state.pools.event(&pool, PoolEvent::Finished(finished));
            PeerMessage::Received
        }
        PeerMessage::Cancel { pool, request_id } => {
            state.pools.cancel(&pool, request_id);
            PeerMessage::Received
        }
        PeerMessage::Register { pool, registration } => {
            state.pools.event(&pool, PoolEvent::Register { node: from, registration });
            PeerMessage::Received
        }
        PeerMessage::Grant { pool, grant } => forward_grant(&state, &from, pool, grant),
        PeerMessage::Refuse { refusal, .. } => {
            let request_id = refusal.request_id;
            forward_reply(&state, &from, request_id, PoolReply::Refused(refusal))
        }
        PeerMessage::CancelRunning { request_id, .. } => {
            forward_reply(&state, &from, request_id, PoolReply::CancelRunning(request_id))
        }
        PeerMessage::Explain { request_id } => {
            let found = state.explanations.find(request_id);
            let text = found.and_then(|found| serde_json::to_string(&found).ok());
            PeerMessage::Explanation { request_id, text }
        }
        PeerMessage::KeyRecord { key, record: Some(record) } if record.node == from => {
            let record = Some(state.keys.claim(&key, record));
            PeerMessage::KeyRecord { key, record }
        }
        PeerMessage::KeyLookup { key } => {
            let record = state.keys.lookup(&key);
            PeerMessage::KeyRecord { key, record }
        }
        PeerMessage::KeyRelease { key, request_id } => {
            state.keys.release(&key, request_id);
            PeerMessage::Received
        }
        body @ (PeerMessage::Reserve { .. }
        | PeerMessage::Outcome { .. }
        | PeerMessage::Release { .. }
        | PeerMessage::ReserveReply { .. }
        | PeerMessage::Recorded { .. }) => {
            let (answer, reply) = oneshot::channel();
            state.journal.do_send(PeerJournalMessage { from, body, answer: Some(answer) });
            let reply = tokio::time::timeout(JOURNAL_REPLY_TIMEOUT, reply).await;
            reply.ok().and_then(Result::ok).unwrap_or(PeerMessage::Received)
        }
        _ => return None,
    };
    Some(state.cluster.envelope(answer))
}

/// Submits the ticket of another node to a pool; `None` when this node does not own the pool or has not
/// created it yet.
async fn submit_ticket(
    state: &Arc<NodeState>,
    from: NodeId,
    pool: PoolId,
    ticket: Ticket,
) -> Option<PeerMessage> {
    if !state.cluster.is_self(&state.cluster.owner_of(&pool)) {
        return None;
    }
    let (sender, mut replies) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
    if !state.pools.submit(&pool, from.clone(), ticket, sender) {
        return None;
    }
    let first = tokio::time::timeout(IMMEDIATE_REPLY_TIMEOUT, replies.recv()).await;
    let state = state.clone();
    let answer = match first {
        Ok(reply) => to_message(&pool, reply?),
        Err(_) => PeerMessage::Received,
    };
    state.clone().runtime.spawn(send_replies(state, from, pool, replies));
    Some(answer)
}

/// Sends later replies to the node of a request until the request ends or is submitted again.
async fn send_replies(
    state: Arc<NodeState>,
    node: NodeId,
    pool: PoolId,
    mut replies: mpsc::Receiver<PoolReply>,
) {
    while let Some(reply) = replies.recv().await {
        let body = to_message(&pool, reply);
        let answer = state.cluster.call_with_retry(&node, body, REPLY_TIMEOUT).await;
        // The node answers a grant with `Finished` if the request ended before the grant arrived.
        if let Some(PeerMessage::Finished { pool, finished }) = answer {
            state.pools.event(&pool, PoolEvent::Finished(finished));
        }
    }
}

fn to_message(pool: &PoolId, reply: PoolReply) -> PeerMessage {
    let pool = pool.clone();
    match reply {
        PoolReply::Granted(grant) => PeerMessage::Grant { pool, grant },
        PoolReply::Refused(refusal) => PeerMessage::Refuse { pool, refusal },
        PoolReply::CancelRunning(request_id) => PeerMessage::CancelRunning { pool, request_id },
    }
}

/// Forwards a grant to its request, or returns it as unused when the request has ended or `from` does not own the pool.
fn forward_grant(state: &NodeState, from: &NodeId, pool: PoolId, grant: Grant) -> PeerMessage {
    if is_pool_owner(state, from, grant.request_id)
        && state.jobs.deliver_reply(grant.request_id, PoolReply::Granted(grant.clone()))
    {
        return PeerMessage::Received;
    }
    let Grant { request_id, target, version, .. } = grant;
    PeerMessage::Finished { pool, finished: unused_grant(request_id, target, version) }
}

/// Forwards a refusal or a cancellation to its request if `from` owns the pool.
fn forward_reply(
    state: &NodeState,
    from: &NodeId,
    request_id: RequestId,
    reply: PoolReply,
) -> PeerMessage {
    if is_pool_owner(state, from, request_id) {
        state.jobs.deliver_reply(request_id, reply);
    }
    PeerMessage::Received
}

/// Returns whether a node owns the pool of a request of this node; replies from other nodes are ignored.
fn is_pool_owner(state: &NodeState, from: &NodeId, request_id: RequestId) -> bool {
    let pool = state.jobs.pool_of(request_id);
    pool.is_some_and(|pool| state.cluster.owner_of(&pool) == *from)
}
