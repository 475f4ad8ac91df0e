use agatecourse_types::{NodeId, rank_by_rendezvous, rendezvous_owner};
use agatecourse_wire::process::{MemberState, MemberUpdate};

/// Assignment of resources such as pools, journal shards, transfers and keys to owner nodes.
///
/// The owner of a resource is the node with the highest rendezvous hash, so a membership change moves only the
/// resources of nodes that joined or left. A suspected node keeps its resources, because most suspicions are
/// refuted; a leaving or dead node owns none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct OwnerAssignment {
    nodes: Vec<NodeId>,
}

impl OwnerAssignment {
    /// Creates the assignment for the given members.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a MemberUpdate>) -> Self {
        let is_eligible =
            |state: MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
        let live = members.into_iter().filter(|member| is_eligible(member.state));
        let mut nodes: Vec<NodeId> = live.map(|member| member.node.clone()).collect();
        nodes.sort();
        nodes.dedup();
        Self { nodes }
    }

    /// Returns the nodes that may own resources, ordered by name.
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Returns the owner of a resource, or `None` if no node may own one.
    pub fn owner(&self, resource: &str) -> Option<&str> {
        rendezvous_owner(resource, self.nodes.iter().map(String::as_str))
    }

    /// Returns all nodes in the order in which they would own a resource, the present owner first.
    pub fn ranked(&self, resource: &str) -> Vec<&str> {
        rank_by_rendezvous(resource, self.nodes.iter().map(String::as_str))
    }
}

#[cfg(test)]
mod tests;
