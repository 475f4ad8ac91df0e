use actix::prelude::*;
use std::time::Duration;

/// Notifies a subscriber that its interval or delay has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub(crate) struct Tick;

/// Requests a [`Tick`] after each interval.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Subscribe {
    pub(crate) interval: Duration,
    pub(crate) subscriber: Recipient<Tick>,
}

/// Requests one [`Tick`] after a delay.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct WakeAfter {
    pub(crate) delay: Duration,
    pub(crate) subscriber: Recipient<Tick>,
}

/// Sends ticks to subscribed actors.
///
/// A periodic tick is dropped when the mailbox of its subscriber is full, because the next one follows. A one-time tick
/// is always delivered.
#[derive(Debug, Default)]
pub(crate) struct TimerService;

impl Actor for TimerService {
    type Context = Context<Self>;
}

impl Handler<Subscribe> for TimerService {
    type Result = ();

    fn handle(&mut self, message: Subscribe, context: &mut Context<Self>) {
        context.run_interval(message.interval, move |_, _| {
            let _ = message.subscriber.try_send(Tick);
        });
    }
}

impl Handler<WakeAfter> for TimerService {
    type Result = ();

    fn handle(&mut self, message: WakeAfter, context: &mut Context<Self>) {
        context.run_later(message.delay, move |_, _| {
            message.subscriber.do_send(Tick);
        });
    }
}
