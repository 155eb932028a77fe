//! Edits and faults of a schedule, and when edits are in force.

use std::time::Duration;

use sequoiatrail_core::Core;
use sequoiatrail_table::TargetState;

use crate::Result;
use crate::balancer::{Leaving, Life};
use crate::measure::EditInForce;
use crate::schedule::EventKind;
use crate::world::{Happening, OpenEdit, World};

/// Time that the planner takes from the table to the plan.
const PLAN_DELAY: Duration = Duration::from_millis(50);
/// Time that a leaving balancer waits at most for changes of plans.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Time that a leaving balancer takes at most to hand over.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(15);
/// Time from owning nothing to the announcement of the leave.
const UNREADY_BEFORE_LEAVE: Duration = Duration::from_millis(500);

impl World {
    /// Carries out an event of the schedule.
    pub fn scheduled(&mut self, index: usize) -> Result<()> {
        let kind = self.schedule.events[index].kind.clone();
        match kind {
            EventKind::StopTarget { service, target } => {
                self.platform
                    .edit_row(&service, target, |row| row.state = TargetState::Stopped);
                self.edited(format!("stop {service}/t{target}"))?;
                self.note_stops();
            }
            EventKind::StartTarget { service, target } => {
                self.platform
                    .edit_row(&service, target, |row| row.state = TargetState::Started);
                self.edited(format!("start {service}/t{target}"))?;
                self.note_stops();
            }
            EventKind::Reweight {
                service,
                target,
                weight,
            } => {
                self.platform
                    .edit_row(&service, target, |row| row.weight = weight);
                self.edited(format!("weight {service}/t{target} = {weight}"))?;
            }
            EventKind::AddTarget { service } => {
                let services = &self.schedule.services;
                let index = services.iter().position(|s| s.name == service);
                if let Some(index) = index {
                    self.platform.add_row(index, &services[index]);
                }
                self.edited(format!("add a target to {service}"))?;
            }
            EventKind::LeaveBalancer { balancer } => self.leave(balancer),
            EventKind::KillBalancer { balancer } => self.kill(balancer),
            EventKind::PauseBalancer { balancer, for_s } => self.pause(balancer, for_s),
            EventKind::JoinBalancer => self.join(),
        }
        Ok(())
    }

    /// Makes the rows a table, tells the balancers and wakes the planner.
    fn edited(&mut self, edit: String) -> Result<()> {
        self.platform.commit()?;
        let table = self.platform.table.clone();
        self.edits.push(OpenEdit {
            report: EditInForce {
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
            let at = self.now + self.spread_delay();
            let table = table.clone();
            self.queue.push(at, Happening::Table { to, table });
        }
        self.queue.push(self.now + PLAN_DELAY, Happening::PlanNow);
        Ok(())
    }

    /// The planner stores the plans of the present table.
    pub fn plan_now(&mut self) {
        let changed = self.platform.next_plans(self.now);
        for edit in self.edits.iter_mut().filter(|e| !e.planned) {
            edit.plans = changed.iter().map(|p| (p.service, p.version)).collect();
            edit.planned = true;
        }
        for plan in changed {
            for to in 0..self.balancers.len() {
                let at = self.now + self.spread_delay();
                let plan = plan.clone();
                self.queue.push(at, Happening::Plan { to, plan });
            }
        }
    }

    /// Time until one balancer has news of the platform.
    fn spread_delay(&mut self) -> Duration {
        let spread = Duration::from_millis(self.schedule.platform_spread_ms);
        self.random_below(spread)
    }

    /// Notes which targets take no new flow from now on.
    fn note_stops(&mut self) {
        for target in &self.platform.table.targets {
            if target.row.takes_new_flows() {
                self.stopped.remove(&target.id);
            } else {
                self.stopped.entry(target.id).or_insert(self.now);
            }
        }
    }

    fn kill(&mut self, index: usize) {
        self.balancers[index].life = Life::Gone;
        self.leave_fabric(index);
    }

    /// The balancer leaves as a daemon does: it lets changes of plans settle,
    /// hands over what only it knows, owns nothing any more, and goes.
    fn leave(&mut self, index: usize) {
        self.balancers[index].leaving = Some(Leaving::Settling { since: self.now });
    }

    /// Goes one step on the way of a leaving balancer.
    pub fn go_on_leaving(&mut self, index: usize) {
        let now = self.now;
        let balancer = &mut self.balancers[index];
        match balancer.leaving {
            Some(Leaving::Settling { since })
                if !balancer.has_open_buckets() || now >= since + SETTLE_LIMIT =>
            {
                balancer.core.leave();
                balancer.leaving = Some(Leaving::HandingOver { since: now });
            }
            Some(Leaving::HandingOver { since })
                if balancer.core.queued_messages() == 0 || now >= since + HAND_OVER_LIMIT =>
            {
                balancer.membership.set_ready(false);
                balancer.leaving = Some(Leaving::Unready { since: now });
            }
            Some(Leaving::Unready { since }) if now >= since + UNREADY_BEFORE_LEAVE => {
                balancer.leaving = None;
                let outputs = balancer.membership.leave(now);
                self.put_out(index, outputs);
                self.leave_fabric(index);
            }
            _ => {}
        }
    }

    fn leave_fabric(&mut self, index: usize) {
        let at = self.now + Duration::from_millis(self.schedule.fabric_ms);
        self.queue.push(at, Happening::FabricForgets(index));
    }

    fn pause(&mut self, index: usize, for_s: f64) {
        let until = self.now + Duration::from_secs_f64(for_s);
        self.balancers[index].life = Life::Paused(until);
        self.queue.push(until, Happening::Resumes(index));
    }

    /// A balancer with an empty state starts and gets packets at once.
    fn join(&mut self) {
        self.add_balancer();
    }

    /// Looks which edits are in force and settled by now.
    pub fn look_at_edits(&mut self) {
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
fn has_edit(core: &Core, edit: &OpenEdit) -> bool {
    let has_plan = |(service, plan): &(_, _)| core.plan_version(*service) >= Some(*plan);
    core.table().version >= edit.table.version && edit.plans.iter().all(has_plan)
}

/// Whether no bucket of an edit's services is in transition.
fn is_settled(core: &Core, edit: &OpenEdit) -> bool {
    edit.plans
        .iter()
        .all(|(service, _)| core.open_buckets(*service) == 0)
}
