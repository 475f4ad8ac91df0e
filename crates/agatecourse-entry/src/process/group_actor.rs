use crate::process::{NodeState, Subscribe, Tick, TimerService, vm_observation};
use actix::prelude::*;
use agatecourse_core::process::MembershipEvent;
use agatecourse_platform::{VmEntry, VmListClient, VmState};
use agatecourse_types::TargetId;
use agatecourse_wire::process::AlertKey;
use slog::debug;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

// A probe must be answered within 400 ms; a coarser timer would delay the detection of dead nodes.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
// One second. A leaving target must get no new requests after 3 s; the lag of the VM list and the distribution of the
// alert take the rest.
const VM_LIST_INTERVAL_TICKS: u32 = 20;
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);
const LEAVING_REASON: &str = "leaving in the VM list";

/// Drives the timers of the node group and polls the platform's list of VMs.
pub(crate) struct GroupActor {
    state: Arc<NodeState>,
    timer: Addr<TimerService>,
    list: Option<VmListClient>,
    ticks: u32,
    leaving: BTreeSet<TargetId>,
}

impl GroupActor {
    pub(crate) fn new(state: Arc<NodeState>, timer: Addr<TimerService>) -> Self {
        let list = state.settings.vm_list_address;
        let list = list.map(|address| VmListClient::new(address).with_timeout(VM_LIST_TIMEOUT));
        Self { state, timer, list, ticks: 0, leaving: BTreeSet::new() }
    }

    fn read_vm_list(&mut self, context: &mut Context<Self>) {
        let Some(list) = self.list.clone() else { return };
        let read = async move { list.list().await };
        context.spawn(read.into_actor(self).map(|result, actor, _| match result {
            Ok(vms) => actor.handle_vm_list(&vms),
            Err(error) => {
                debug!(actor.state.log, "VM list can't be read"; "reason" => error.to_string());
            }
        }));
    }

    /// Raises and clears the alerts for leaving targets, and passes the VMs that run no target to the membership, which
    /// takes them for nodes.
    fn handle_vm_list(&mut self, vms: &[VmEntry]) {
        let Some(view) = self.state.view() else { return };
        let targets = &view.config.targets;
        let leaving_vms: BTreeSet<&str> =
            vms.iter().filter(|vm| vm.state == VmState::Leaving).map(|vm| vm.vm.as_str()).collect();
        let leaving: BTreeSet<TargetId> = targets
            .values()
            .filter(|target| leaving_vms.contains(target.vm.as_str()))
            .map(|target| target.name.clone())
            .collect();
        for target in leaving.symmetric_difference(&self.leaving) {
            let key = AlertKey::TargetLeaving { target: target.clone() };
            self.state.group().set_alert(
                &self.state,
                key,
                leaving.contains(target),
                LEAVING_REASON,
            );
        }
        self.leaving = leaving;
        let is_node = |vm: &&VmEntry| !targets.values().any(|target| target.vm == vm.vm);
        let nodes = vms.iter().filter(is_node);
        let nodes = nodes.map(|vm| vm_observation(vm.address, vm.state == VmState::Leaving));
        let event = MembershipEvent::Vms(nodes.collect());
        self.state.group().member_event(&self.state, event);
    }
}

impl Actor for GroupActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let subscriber = context.address().recipient();
        self.timer.do_send(Subscribe { interval: TICK_INTERVAL, subscriber });
        self.state.group().tick(&self.state);
    }
}

impl Handler<Tick> for GroupActor {
    type Result = ();

    fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.state.group().tick(&self.state);
        self.ticks += 1;
        if self.ticks.is_multiple_of(VM_LIST_INTERVAL_TICKS) {
            self.read_vm_list(context);
        }
    }
}
