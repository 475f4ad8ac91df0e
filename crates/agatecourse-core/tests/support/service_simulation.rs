use super::journal_simulation::{JournalSimulation, SimEvent, node_name};
use agatecourse_core::request::journal::ReservationAction;
use agatecourse_history::HistoryEvent;
use agatecourse_types::{RequestId, ResultCode};
use agatecourse_wire::request::KnownOutcome;

/// Simulates the callers and the target of the service: dispatches, outcomes and refusals.
impl JournalSimulation {
    pub(super) fn perform_client_action(&mut self, node: usize, action: ReservationAction) {
        match action {
            ReservationAction::Send { shard, message } => {
                let owner = self.nodes[node].owner_of(shard);
                self.send(node, &owner, *message);
            }
            ReservationAction::Dispatch { request_id } => self.dispatch(node, request_id),
            ReservationAction::Answer { request_id, earlier, outcome } => match outcome {
                KnownOutcome::Answered { body: Some(body), body_hash, .. } => {
                    assert_eq!(body, body_hash.to_le_bytes());
                    self.deliver_answer(node, request_id, earlier, body_hash);
                }
                _ => self.refuse(node, request_id, ResultCode::EarlierUnknown),
            },
            ReservationAction::Refuse { request_id, code } => self.refuse(node, request_id, code),
        }
    }

    fn dispatch(&mut self, node: usize, request_id: RequestId) {
        let (route, target) = ("orders".to_string(), "depot".to_string());
        let version = "v1".to_string();
        let event = HistoryEvent::Dispatched { request_id, route, target: target.clone(), version };
        self.record(&node_name(node), event);
        if self.draw_bool(10) {
            self.record(&node_name(node), HistoryEvent::NotSent { request_id, target });
            self.refuse(node, request_id, ResultCode::NoTarget);
            let (now, mut actions) = (self.now(), Vec::new());
            self.nodes[node].client.release_undispatched(now, request_id, &mut actions);
            self.perform(node, Vec::new(), actions);
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let delay_us = 500 + self.draw(3_000);
        self.after(delay_us, SimEvent::TargetRunsRequest { node, incarnation, request_id });
    }

    pub(super) fn handle_target_response(&mut self, node: usize, request_id: RequestId) {
        let answer_hash = request_id as u64;
        let outcome = if self.draw_bool(10) {
            self.refuse(node, request_id, ResultCode::OutcomeUnknown);
            KnownOutcome::Unknown
        } else {
            self.deliver_answer(node, request_id, request_id, answer_hash);
            KnownOutcome::Answered {
                status: 201,
                content_type: "text/plain".to_string(),
                body: Some(answer_hash.to_le_bytes().to_vec()),
                body_hash: answer_hash,
            }
        };
        let (now, mut actions) = (self.now(), Vec::new());
        self.nodes[node].client.report_outcome(now, request_id, outcome, &mut actions);
        self.perform(node, Vec::new(), actions);
    }

    fn deliver_answer(
        &mut self,
        node: usize,
        request_id: RequestId,
        produced_by: RequestId,
        answer_hash: u64,
    ) {
        let whole = true;
        let event = HistoryEvent::Delivered { request_id, produced_by, answer_hash, whole };
        self.record(&node_name(node), event);
    }

    pub(super) fn refuse(&mut self, node: usize, request_id: RequestId, code: ResultCode) {
        let (code, run) = (code.number(), code.run_state());
        self.record(&node_name(node), HistoryEvent::Refused { request_id, code, run });
    }
}
