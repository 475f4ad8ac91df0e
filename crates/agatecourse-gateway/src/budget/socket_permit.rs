use super::ResourceBudget;
use std::rc::Rc;

/// A socket to a target that the budget counts until the permit is dropped.
#[derive(Debug)]
pub(crate) struct SocketPermit(Rc<ResourceBudget>);

impl SocketPermit {
    /// Counts a socket; the caller has checked that the budget has room.
    pub(super) fn new(budget: &Rc<ResourceBudget>) -> Self {
        budget.count_target_socket(1);
        Self(Rc::clone(budget))
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.count_target_socket(-1);
    }
}
