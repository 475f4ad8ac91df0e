use crate::process::{PoolSchedulers, Tick};
use actix::prelude::*;
use std::sync::Arc;

/// Runs the timers of the pool schedulers.
///
/// Worker threads call [`PoolSchedulers`] directly, because a message to another thread and its answer would take
/// longer than the scheduling decision.
#[derive(Debug)]
pub(crate) struct PoolActor(pub(crate) Arc<PoolSchedulers>);

impl Actor for PoolActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.0.set_ticker(context.address().recipient());
    }
}

impl Handler<Tick> for PoolActor {
    type Result = ();

    fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.0.tick();
    }
}
