use crate::{CheckLimits, HistoryEvent, Record, Violation};
use agatecourse_types::ConfigVersion;
use std::collections::BTreeMap;

/// Steps of one node that affect its configuration, ordered by time.
#[derive(Debug, Default)]
struct NodeTimeline<'a> {
    steps: Vec<(NodeStep, &'a Record)>,
}

/// State change of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
enum NodeStep {
    Running,
    Paused,
    Stopped,
    InForce(ConfigVersion),
}

/// Checks invariant 9: every node applies an accepted configuration within the limit and never reverts to an older one.
///
/// For a node that starts or resumes later, the limit runs from that time. A node is not checked when it stops, or the
/// history ends, before the limit has passed.
pub fn config_in_force(history: &[Record], limits: &CheckLimits) -> Vec<Violation> {
    let mut nodes: BTreeMap<&str, NodeTimeline> = BTreeMap::new();
    for record in history {
        let (subject, step) = match &record.event {
            HistoryEvent::NodeReady { subject } | HistoryEvent::NodeResumed { subject } => {
                (subject, NodeStep::Running)
            }
            HistoryEvent::NodePaused { subject } => (subject, NodeStep::Paused),
            HistoryEvent::NodeDied { subject } | HistoryEvent::ShutdownBegan { subject } => {
                (subject, NodeStep::Stopped)
            }
            HistoryEvent::ConfigInForce { subject, version } => {
                (subject, NodeStep::InForce(*version))
            }
            _ => continue,
        };
        nodes.entry(subject).or_default().steps.push((step, record));
    }
    let accepted: Vec<(ConfigVersion, &Record)> = history
        .iter()
        .filter_map(|record| match &record.event {
            HistoryEvent::ConfigAccepted { version } => Some((*version, record)),
            _ => None,
        })
        .collect();
    let limit_us = limits.config_in_force.as_micros() as u64;
    let end_us = history.last().map_or(0, |record| record.at_us);
    let mut violations = Vec::new();
    for (node, timeline) in &nodes {
        violations.extend(timeline.find_reverts(node));
        for (version, acceptance) in &accepted {
            violations.extend(
                timeline.find_missed_deadline(node, *version, acceptance, limit_us, end_us),
            );
        }
    }
    violations
}

impl NodeTimeline<'_> {
    fn find_reverts(&self, node: &str) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut highest: Option<(ConfigVersion, &Record)> = None;
        for (step, record) in &self.steps {
            match (step, highest) {
                (NodeStep::Stopped, _) => highest = None,
                (NodeStep::InForce(version), Some((previous, since))) if *version < previous => {
                    let detail = format!(
                        "node {node} reverted from configuration version {previous} to {version}"
                    );
                    violations.push(Violation::new("config_in_force", detail, [since, *record]));
                }
                (NodeStep::InForce(version), _) => highest = Some((*version, record)),
                _ => {}
            }
        }
        violations
    }

    /// Returns a violation for the first period in which the node ran for the whole limit without applying the version.
    fn find_missed_deadline(
        &self,
        node: &str,
        version: ConfigVersion,
        acceptance: &Record,
        limit_us: u64,
        end_us: u64,
    ) -> Option<Violation> {
        let running_steps =
            self.steps.iter().enumerate().filter(|(_, (step, _))| *step == NodeStep::Running);
        let missed = running_steps.into_iter().find(|(index, (_, running_since))| {
            let deadline = running_since.at_us.max(acceptance.at_us) + limit_us;
            let until = self.steps[index + 1..]
                .iter()
                .find(|(step, _)| {
                    matches!(step, NodeStep::Running | NodeStep::Paused | NodeStep::Stopped)
                })
                .map_or(end_us, |(_, record)| record.at_us);
            until >= deadline && self.highest_version_at(deadline) < Some(version)
        });
        missed.map(|(_, (_, running_since))| {
            let detail =
                format!("node {node} did not apply configuration version {version} in time");
            let (first, second) = if running_since.at_us < acceptance.at_us {
                (*running_since, acceptance)
            } else {
                (acceptance, *running_since)
            };
            Violation::new("config_in_force", detail, [first, second])
        })
    }

    /// Returns the highest version that the node has applied by a time, since it last started.
    fn highest_version_at(&self, at_us: u64) -> Option<ConfigVersion> {
        let latest_first = self.steps.iter().rev().skip_while(|(_, record)| record.at_us > at_us);
        latest_first
            .take_while(|(step, _)| *step != NodeStep::Stopped)
            .filter_map(|(step, _)| match step {
                NodeStep::InForce(version) => Some(*version),
                _ => None,
            })
            .max()
    }
}
