use super::{BudgetFull, ByteUse, CallerSlot};
use std::cell::Cell;
use std::rc::Rc;

/// Bytes that are held for one caller; given back to the budget on drop, also by a panic or a cancelled task.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    slot: Rc<CallerSlot>,
    bytes: Cell<usize>,
}

impl HeldBytes {
    pub(super) fn new(slot: Rc<CallerSlot>) -> Self {
        Self { slot, bytes: Cell::new(0) }
    }

    /// Returns the connection for which the bytes are held.
    pub(crate) fn slot(&self) -> &Rc<CallerSlot> {
        &self.slot
    }

    /// Changes the number of bytes held.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetFull`] when the budget has no room for more bytes and no other caller's can be given up; the number is then unchanged.
    pub(crate) fn resize(&self, bytes: usize, byte_use: ByteUse) -> Result<(), BudgetFull> {
        let before = self.bytes.get();
        if bytes > before {
            self.slot.take_bytes(bytes - before, byte_use)?;
        } else {
            self.slot.give_back_bytes(before - bytes);
        }
        self.bytes.set(bytes);
        Ok(())
    }

    /// Takes over the bytes that another value holds for the same caller.
    pub(crate) fn absorb(&self, other: &Self) {
        self.bytes.set(self.bytes.get() + other.bytes.replace(0));
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.slot.give_back_bytes(self.bytes.get());
    }
}
