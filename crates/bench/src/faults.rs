//! Edits and faults of a schedule, and the progress of edits.

use std::time::Duration;

use sequoiatrail_core::Core;
use sequoiatrail_table::TargetState;

use crate::Result;
use crate::balancer::{LeavePhase, Liveness};
use crate::measure::EditReport;
use crate::schedule::EventKind;
use crate::simulation::{PendingEdit, SimEvent, Simulation};

/// Time that the planner takes to make plans from a table.
const PLAN_DELAY: Duration = Duration::from_millis(50);
/// Max time that a leaving balancer waits for plan changes to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Max time that a leaving balancer takes to hand over flows.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that a leaving balancer is unready, and so owns no buckets, before it
/// announces its leave.
const UNREADY_BEFORE_LEAVE: Duration = Duration::from_millis(500);

impl Simulation {
    /// Executes an event of the schedule.
    pub fn run_scheduled(&mut self, index: usize) -> Result<()> {
        let kind = self.schedule.events[index].kind.clone();
        match kind {
            EventKind::StopTarget { service, target } => {
                self.platform
                    .edit_row(&service, target, |row| row.state = TargetState::Stopped);
                self.commit_edit(format!("stop {service}/t{target}"))?;
                self.record_stops();
            }
            EventKind::StartTarget { service, target } => {
                self.platform
                    .edit_row(&service, target, |row| row.state = TargetState::Started);
                self.commit_edit(format!("start {service}/t{target}"))?;
                self.record_stops();
            }
            EventKind::Reweight {
                service,
                target,
                weight,
            } => {
                self.platform
                    .edit_row(&service, target, |row| row.weight = weight);
                self.commit_edit(format!("weight {service}/t{target} = {weight}"))?;
            }
            EventKind::AddTarget { service } => {
                let services = &self.schedule.services;
                let index = services.iter().position(|s| s.name == service);
                if let Some(index) = index {
                    self.platform.add_row(index, &services[index]);
                }
                self.commit_edit(format!("add a target to {service}"))?;
            }
            EventKind::LeaveBalancer { balancer } => self.leave(balancer),
            EventKind::KillBalancer { balancer } => self.kill(balancer),
            EventKind::PauseBalancer { balancer, for_s } => self.pause(balancer, for_s),
            EventKind::JoinBalancer => self.join(),
        }
        Ok(())
    }

    /// Commits the rows as a table, sends it to the balancers and triggers the planner.
    fn commit_edit(&mut self, edit: String) -> Result<()> {
        self.platform.commit()?;
        let table = self.platform.table.clone();
        self.edits.push(PendingEdit {
            report: EditReport {
                edit,
                at_s: self.now.as_secs_f64(),
                in_force_s: None,
                settled_s: None,
            },
            at: self.now,
            table: table.clone(),
            plans: Vec::new(),
            planned: false,
        });
        for to in 0..self.balancers.len() {
            let at = self.now + self.propagation_delay();
            let table = table.clone();
            self.queue.push(at, SimEvent::Table { to, table });
        }
        self.queue.push(self.now + PLAN_DELAY, SimEvent::WritePlans);
        Ok(())
    }

    /// Stores the planner's plans of the current table and sends them to the balancers.
    pub fn write_plans(&mut self) {
        let changed = self.platform.next_plans(self.now);
        for edit in self.edits.iter_mut().filter(|e| !e.planned) {
            edit.plans = changed.iter().map(|p| (p.service, p.version)).collect();
            edit.planned = true;
        }
        for plan in changed {
            for to in 0..self.balancers.len() {
                let at = self.now + self.propagation_delay();
                let plan = plan.clone();
                self.queue.push(at, SimEvent::Plan { to, plan });
            }
        }
    }

    /// Random delay of an update from the platform to one balancer.
    fn propagation_delay(&mut self) -> Duration {
        let max_delay = Duration::from_millis(self.schedule.platform_spread_ms);
        self.random_below(max_delay)
    }

    /// Records the time at which targets stopped taking new flows.
    fn record_stops(&mut self) {
        for target in &self.platform.table.targets {
            if target.row.takes_new_flows() {
                self.stopped.remove(&target.id);
            } else {
                self.stopped.entry(target.id).or_insert(self.now);
            }
        }
    }

    fn kill(&mut self, index: usize) {
        self.balancers[index].liveness = Liveness::Gone;
        self.schedule_fabric_removal(index);
    }

    /// Starts a graceful leave, as in a daemon: the balancer waits for plan changes to
    /// settle, hands over the flows that only it knows, becomes unready and leaves.
    fn leave(&mut self, index: usize) {
        self.balancers[index].leaving = Some(LeavePhase::Settling { since: self.now });
    }

    /// Moves a leaving balancer to its next phase if it is due.
    pub fn advance_leave(&mut self, index: usize) {
        let now = self.now;
        let balancer = &mut self.balancers[index];
        match balancer.leaving {
            Some(LeavePhase::Settling { since })
                if !balancer.has_open_buckets() || now >= since + SETTLE_TIMEOUT =>
            {
                balancer.core.leave();
                balancer.leaving = Some(LeavePhase::HandingOver { since: now });
            }
            Some(LeavePhase::HandingOver { since })
                if balancer.core.queued_messages() == 0 || now >= since + HANDOVER_TIMEOUT =>
            {
                balancer.membership.set_ready(false);
                balancer.leaving = Some(LeavePhase::Unready { since: now });
            }
            Some(LeavePhase::Unready { since }) if now >= since + UNREADY_BEFORE_LEAVE => {
                balancer.leaving = None;
                let outputs = balancer.membership.leave(now);
                self.send_outputs(index, outputs);
                self.schedule_fabric_removal(index);
            }
            _ => {}
        }
    }

    fn schedule_fabric_removal(&mut self, index: usize) {
        let at = self.now + Duration::from_millis(self.schedule.fabric_ms);
        self.queue.push(at, SimEvent::RemoveFromFabric(index));
    }

    fn pause(&mut self, index: usize, for_s: f64) {
        let until = self.now + Duration::from_secs_f64(for_s);
        self.balancers[index].liveness = Liveness::Paused(until);
        self.queue.push(until, SimEvent::Resume(index));
    }

    /// Starts a balancer with empty state, which gets packets at once.
    fn join(&mut self) {
        self.add_balancer();
    }

    /// Records which edits all live balancers have applied and settled.
    pub fn check_edits(&mut self) {
        let live: Vec<_> = self.balancers.iter().filter(|b| b.is_up()).collect();
        for edit in self.edits.iter_mut().filter(|e| e.planned) {
            let since = (self.now - edit.at).as_secs_f64();
            if edit.report.in_force_s.is_none() && live.iter().all(|b| has_edit(&b.core, edit)) {
                edit.report.in_force_s = Some(since);
            }
            if edit.report.settled_s.is_none()
                && edit.report.in_force_s.is_some()
                && live.iter().all(|b| is_settled(&b.core, edit))
            {
                edit.report.settled_s = Some(since);
            }
        }
    }
}

/// Whether a core has the table of an edit and the plans made from it.
fn has_edit(core: &Core, edit: &PendingEdit) -> bool {
    let has_plan = |(service, plan): &(_, _)| core.plan_version(*service) >= Some(*plan);
    core.table().version >= edit.table.version && edit.plans.iter().all(has_plan)
}

/// Whether no bucket of an edit's services is in transition.
fn is_settled(core: &Core, edit: &PendingEdit) -> bool {
    edit.plans
        .iter()
        .all(|(service, _)| core.open_buckets(*service) == 0)
}
