use super::journal_simulation::{JournalSimulation, SimEvent, node_name};
use super::schedule::{Fault, NODES};
use super::sim_node::SimNode;
use agatecourse_history::HistoryEvent;
use std::collections::BTreeSet;

/// Injects the faults of a schedule and the membership changes that result from them.
impl JournalSimulation {
    pub(super) fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { node, down_ms } if self.nodes[node].alive => {
                self.nodes[node].alive = false;
                self.record("driver", HistoryEvent::NodeDied { subject: node_name(node) });
                self.announce_liveness(node, false);
                self.after(down_ms * 1000, SimEvent::Restart { node });
            }
            Fault::Pause { node, pause_ms } if !self.nodes[node].paused => {
                self.nodes[node].paused = true;
                self.announce_liveness(node, false);
                self.after(pause_ms * 1000, SimEvent::Resume { node });
                let back_us = self.now_us + pause_ms * 1000;
                self.announce_liveness_at(node, true, back_us);
            }
            Fault::TableOutage { outage_ms } => {
                self.table.unavailable_until_us = self.now_us + outage_ms * 1000;
            }
            Fault::TableSlow { slow_ms, latency_ms } => {
                self.table.slow_until_us = self.now_us + slow_ms * 1000;
                self.table.slow_latency_us = latency_ms * 1000;
            }
            Fault::LostAnswers { lost_ms } => {
                self.table.responses_lost_until_us = self.now_us + lost_ms * 1000;
            }
            Fault::CutOff { node, cut_ms } => {
                self.cut_until_us[node] = self.now_us + cut_ms * 1000;
                self.announce_liveness(node, false);
                let back_us = self.cut_until_us[node];
                self.announce_liveness_at(node, true, back_us);
            }
            Fault::FalseView { node, false_ms } => {
                self.nodes[node].view = BTreeSet::from([node_name(node)]);
                self.apply_view(node);
                self.after(false_ms * 1000, SimEvent::Reconnect { node });
            }
            Fault::Kill { .. } | Fault::Pause { .. } => {}
        }
    }

    fn announce_liveness(&mut self, subject: usize, live: bool) {
        self.announce_liveness_at(subject, live, self.now_us);
    }

    /// Schedules when the other nodes see a node as live or dead; each sees the change at a different time.
    fn announce_liveness_at(&mut self, subject: usize, live: bool, from_us: u64) {
        for node in (0..NODES).filter(|node| *node != subject) {
            let lag_us = 200_000 + self.draw(3_000_000);
            self.at(from_us + lag_us, SimEvent::ViewChange { node, subject, live });
        }
    }

    pub(super) fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let names = (0..NODES).map(node_name).collect();
        let paused = self.nodes[node].paused;
        self.nodes[node] = SimNode::new(&node_name(node), incarnation, self.start, names);
        self.nodes[node].paused = paused;
        self.announce_liveness(node, true);
        self.apply_view(node);
    }
}
