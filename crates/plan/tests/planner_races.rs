//! Property test of several planners with outdated views, lost writes and responses
//! lost after the write took effect.

mod common;

use common::{SERVICE, Store, edit, nodes, secs, table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_plan::{Factors, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{Table, TargetState};
use sequoiatrail_types::{NodeId, TargetId};

const PLANNERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A balancer receives the latest table.
    ReceiveTable(usize),
    /// A balancer receives the latest plan.
    ReceivePlan(usize),
    /// A balancer considers the balancers in the bit mask live.
    SetLive(usize, u8),
    /// A balancer proposes a plan; the write is lost or not.
    Plan(usize, bool),
    /// An operator starts or stops a target.
    Edit(usize),
    /// Time passes.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let i = 0..PLANNERS;
    let step = prop_oneof![
        i.clone().prop_map(Step::ReceiveTable),
        i.clone().prop_map(Step::ReceivePlan),
        (i.clone(), any::<u8>()).prop_map(|(i, m)| Step::SetLive(i, m)),
        (i, any::<bool>()).prop_map(|(i, lost)| Step::Plan(i, lost)),
        (0_usize..6).prop_map(Step::Edit),
        (1_u64..5).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

/// One balancer and its view of the cluster.
struct Member {
    planner: Planner,
    table: Table,
    plans: Plans,
    live: Vec<NodeId>,
}

struct World {
    now: u64,
    members: Vec<Member>,
    table: Table,
    store: Store,
}

impl World {
    fn new() -> World {
        let table = table(&[1; 6]);
        let member = |node| Member {
            planner: Planner::new(node, PlannerSettings::default()),
            table: table.clone(),
            plans: Plans::new(),
            live: nodes(PLANNERS as u64),
        };
        World {
            now: 0,
            members: nodes(PLANNERS as u64).into_iter().map(member).collect(),
            store: Store::default(),
            table,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::ReceiveTable(i) => self.members[i].table = self.table.clone(),
            Step::ReceivePlan(i) => self.members[i].plans = self.store.plans.clone(),
            Step::SetLive(i, mask) => {
                let live = nodes(PLANNERS as u64);
                let live_nodes = live.into_iter().filter(|n| mask >> n.0 & 1 == 1);
                self.members[i].live = live_nodes.collect();
            }
            Step::Plan(i, lost) => {
                self.plan(i, lost);
            }
            Step::Edit(t) => {
                self.table = edit(&self.table, |rows| {
                    rows[t].state = match rows[t].state {
                        TargetState::Started => TargetState::Stopped,
                        TargetState::Stopped => TargetState::Started,
                    };
                });
            }
            Step::Wait(s) => self.now += s,
        }
    }

    /// Runs the planner of one balancer; returns the number of its proposals.
    fn plan(&mut self, i: usize, lost: bool) -> usize {
        let member = &mut self.members[i];
        let none = Factors::default();
        let now = secs(self.now);
        let proposals =
            member
                .planner
                .propose(now, &member.table, &member.plans, &member.live, &none);
        let made = proposals.len();
        for proposal in proposals {
            let before = self.store.plans.get(&SERVICE).cloned();
            if lost || !self.store.put(proposal) {
                continue;
            }
            let after = self.store.plan();
            let (version, table) = before.map_or((0, 0), |p| (p.version.0, p.table.0));
            assert_eq!(
                after.version.0,
                version + 1,
                "each write raises the version by one"
            );
            assert!(after.table.0 >= table, "plan computed from an older table");
        }
        made
    }

    /// Keeps all views up to date for `seconds`; returns the number of proposals made.
    fn settle(&mut self, seconds: u64) -> usize {
        let mut made = 0;
        for _ in 0..seconds {
            self.now += 1;
            for i in 0..PLANNERS {
                self.step(Step::ReceiveTable(i));
                self.step(Step::ReceivePlan(i));
                self.step(Step::SetLive(i, u8::MAX));
                made += self.plan(i, false);
            }
        }
        made
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn races_converge_to_the_plan_of_the_latest_table(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        // Longer than the maximum retry delay.
        world.settle(40);
        let held = world.store.plan().bucket_counts();
        let started = world.table.targets.iter().filter(|t| t.row.takes_new_flows());
        let started: Vec<TargetId> = started.map(|t| t.id).collect();
        for target in &world.table.targets {
            let n = held.get(&target.id).copied().unwrap_or(0);
            let exact = match started.contains(&target.id) {
                true => 1_024.0 / started.len() as f64,
                false => 0.0,
            };
            prop_assert!((n as f64 - exact).abs() < 1.0, "{n} buckets for {exact}");
        }
        prop_assert_eq!(world.settle(60), 0, "proposals after convergence");
    }
}
