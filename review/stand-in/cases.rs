//! The cases. Each returns whether its rule was broken.

use std::io::{Error, Result};
use std::time::{Duration, Instant};

use crate::client::Habit;
use crate::target::{Boot, Work};
use crate::world::{Goals, Size, World, RECOVERY, SERVERS, SETTLE_WINDOW};

/// Requesters that open a flow for each request.
pub const SHORT_FLOWS: Size = Size {
    machines_per_zone: 2,
    targets: 9,
    clients_per_zone: 8,
    habit: Habit {
        requests: 1,
        pause: Duration::from_millis(30),
        budget: Duration::from_millis(2_000),
    },
    work: Work {
        usual: Duration::from_millis(20),
        cold: Duration::from_millis(20),
        cold_for: Duration::ZERO,
    },
    goals: Goals {
        latency_ms: 500,
        timeout_ms: 2_000,
    },
};
/// Requesters that keep a flow for many requests.
const LONG_FLOWS: Size = Size {
    habit: Habit {
        requests: 12,
        pause: Duration::from_millis(60),
        ..SHORT_FLOWS.habit
    },
    clients_per_zone: 30,
    targets: 18,
    ..SHORT_FLOWS
};
/// Requesters whose requests may take long.
const DOWNLOADS: Size = Size {
    clients_per_zone: 5,
    habit: Habit {
        budget: Duration::from_millis(8_000),
        ..SHORT_FLOWS.habit
    },
    goals: Goals {
        latency_ms: 1_500,
        timeout_ms: 8_000,
    },
    ..SHORT_FLOWS
};
/// Fewest answers a second without a disruption, so that a run counts.
const MIN_ANSWERS_PER_S: usize = 20;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Waits until all machines are in touch.
pub fn settle(world: &mut World) -> Result<()> {
    let from = Instant::now();
    World::sleep(SETTLE_WINDOW + ms(1_000));
    let answers = world.answers_between(from, Instant::now());
    if answers < MIN_ANSWERS_PER_S * SETTLE_WINDOW.as_secs() as usize {
        return Err(Error::other(format!("only {answers} answers at first")));
    }
    world.note(&format!(
        "all machines are in touch; {answers} answers so far"
    ));
    Ok(())
}

/// Checks the rule DRAIN for targets: boot, when the drain was acknowledged, and since when
/// all machines are in touch.
pub fn check_drains(world: &mut World, drains: &[(Boot, Instant, Instant)]) -> bool {
    let mut broken = 0;
    for (boot, acknowledged, in_touch) in drains {
        let late = world.late_openings(*boot, *acknowledged, *in_touch);
        world.note(&format!("boot {boot}: {late} flows opened too late"));
        broken += late;
    }
    broken > 0
}

pub fn verdict(rule: &str, broken: bool) -> String {
    match broken {
        true => format!("{rule} is broken"),
        false => format!("{rule} held"),
    }
}

/// Another writer's entry among those of the targets holds a text that is no Unicode.
pub fn unreadable_entry(trouble: bool, record: &str) -> Result<bool> {
    let mut world = World::start(SHORT_FLOWS)?;
    settle(&mut world)?;
    if trouble {
        // FORM chooses other unreadable contents, for comparison.
        let form = std::env::var("FORM").unwrap_or_default();
        let text: &[u8] = match form.as_str() {
            "bytes" => b"{\"service\":\"\xff\xfe\x80\"}",
            "type" => b"{\"service\":17,\"address\":[]}",
            _ => b"{\"service\":\"\\ud83d\",\"sequence\":4}",
        };
        world.store.put(SERVERS, "i-5c0ffee5c0ffee01", text);
        world.note("another writer has created servers/i-5c0ffee5c0ffee01, which can't be read");
    }
    World::sleep(ms(1_500));
    let in_touch = Instant::now();
    let drains = [(world.targets[0].boot, world.drain(0), in_touch)];
    World::sleep(ms(500));
    world.add_target(0x7f3a_91c2_dddd_0001)?;
    let new = world.targets.len() - 1;
    World::sleep(ms(7_500));
    world.leave(0);
    World::sleep(ms(2_000));
    let broken = check_drains(&mut world, &drains);
    let taken = {
        let boot = world.targets[new].boot;
        let seen = world.seen.lock().unwrap();
        seen.openings.iter().filter(|o| o.boot == boot).count()
    };
    world.note(&format!("the new target took {taken} opening packets"));
    let lost = lose_all_processes(&mut world)?;
    let rules = format!("{}; {}", verdict("DRAIN", broken), verdict("RECOVER", lost));
    world.finish(record, &rules)?;
    Ok(broken || lost)
}

/// Kills all processes, as the final fault of a day does, and checks the rule RECOVER.
pub fn lose_all_processes(world: &mut World) -> Result<bool> {
    let before = world.tries();
    World::sleep(ms(5_000));
    let (tried, served) = world.tries_since(before);
    world.note(&format!(
        "before the final fault: {served} of {tried} requests served"
    ));
    for machine in &mut world.machines {
        machine.kill();
    }
    world.note("all processes were killed");
    World::sleep(ms(900));
    for machine in &mut world.machines {
        machine.start()?;
    }
    world.note("all processes have started again");
    World::sleep(RECOVERY);
    let ready = world.router.in_rotation();
    let before = world.tries();
    World::sleep(ms(8_000));
    let (tried, served) = world.tries_since(before);
    world.note(&format!(
        "later than {} s after that: {served} of {tried} requests served, {ready} machines in \
         rotation",
        RECOVERY.as_secs()
    ));
    Ok(4 * served < tried)
}

/// Restarts targets in place, one after the other.
struct Release {
    /// Whether they keep their ids.
    keep_ids: bool,
    next: usize,
    due: Instant,
    drained: Vec<(Instant, usize)>,
    left: Vec<(Instant, usize)>,
}

impl Release {
    const GAP: Duration = Duration::from_millis(800);
    /// Time that a target drains, beyond the drain timeout.
    const DRAINS_FOR: Duration = Duration::from_millis(3_600);
    /// Time from its end to its next start.
    const AWAY_FOR: Duration = Duration::from_millis(2_500);

    fn new(keep_ids: bool) -> Release {
        Release {
            keep_ids,
            next: 0,
            due: Instant::now(),
            drained: Vec::new(),
            left: Vec::new(),
        }
    }

    fn step(&mut self, world: &mut World, now: Instant) -> Result<()> {
        if now >= self.due {
            self.due += Release::GAP;
            let n = self.next % world.targets.len();
            self.next += 1;
            world.drain(n);
            self.drained.push((now, n));
        }
        if let Some(n) = take_due(&mut self.drained, now, Release::DRAINS_FOR) {
            world.leave(n);
            self.left.push((now, n));
        }
        if let Some(n) = take_due(&mut self.left, now, Release::AWAY_FOR) {
            match self.keep_ids {
                true => world.start_again(n)?,
                false => world.replace(n)?,
            }
        }
        Ok(())
    }
}

/// Removes and returns the first of a queue if it has waited for so long.
fn take_due(queue: &mut Vec<(Instant, usize)>, now: Instant, wait: Duration) -> Option<usize> {
    let (since, _) = queue.first()?;
    (now >= *since + wait).then(|| queue.remove(0).1)
}

/// Stops and starts machines, one after the other.
struct Roll {
    next: usize,
    due: Instant,
    stopping: Vec<usize>,
    away: Vec<(Instant, usize)>,
}

impl Roll {
    const GAP: Duration = Duration::from_millis(1_300);
    /// Time from the end of a process to its next start.
    const AWAY_FOR: Duration = Duration::from_millis(300);

    fn new() -> Roll {
        Roll {
            next: 0,
            due: Instant::now(),
            stopping: Vec::new(),
            away: Vec::new(),
        }
    }

    fn step(&mut self, world: &mut World, now: Instant) -> Result<()> {
        if now >= self.due {
            self.due += Roll::GAP;
            let n = self.next % world.machines.len();
            self.next += 1;
            world.machines[n].terminate();
            let name = world.machines[n].name.clone();
            world.note(&format!("{name} got SIGTERM"));
            self.stopping.push(n);
        }
        let ended = |n: &usize| world.machines[*n].has_ended();
        if let Some(at) = self.stopping.iter().position(ended) {
            let n = self.stopping.remove(at);
            world.machines[n].kill();
            self.away.push((now, n));
        }
        if let Some(n) = take_due(&mut self.away, now, Roll::AWAY_FOR) {
            world.machines[n].start()?;
            let name = world.machines[n].name.clone();
            world.note(&format!("{name} has started again"));
        }
        Ok(())
    }
}

/// Replaces targets, one after the other: a new one starts, then the oldest one drains.
struct Replacement {
    next: usize,
    due: Instant,
    warming: Vec<(Instant, usize)>,
    drained: Vec<(Instant, usize)>,
}

impl Replacement {
    const GAP: Duration = Duration::from_millis(800);
    /// Time that a target drains, beyond the drain timeout.
    const DRAINS_FOR: Duration = Duration::from_millis(3_600);
    const WARM_AFTER: Duration = Duration::from_millis(2_050);

    fn step(&mut self, world: &mut World, now: Instant) -> Result<()> {
        if now >= self.due {
            self.due += Replacement::GAP;
            let new = world.targets.len();
            world.add_target(0x7f3a_91c2_dd00_0000 + new as u64)?;
            world.drain(self.next);
            self.warming.push((now, new));
            self.drained.push((now, self.next));
            self.next += 1;
        }
        if let Some(n) = take_due(&mut self.warming, now, Replacement::WARM_AFTER) {
            world.renew(n);
        }
        if let Some(n) = take_due(&mut self.drained, now, Replacement::DRAINS_FOR) {
            world.leave(n);
        }
        Ok(())
    }
}

/// Targets are replaced in turn. Those that have just started take 1.6 times as long as
/// usual for 2 s, still within the goal of the route. Without the disruption they are as
/// quick as the others. `WORK_MS` is another usual time.
pub fn cold_targets(trouble: bool, record: &str) -> Result<bool> {
    const LENGTH: Duration = Duration::from_secs(85);
    const WORK_MS: u64 = 925;
    let given = std::env::var("WORK_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    let usual = ms(given.unwrap_or(WORK_MS));
    let work = Work {
        usual,
        cold: usual.mul_f64(1.6),
        cold_for: match trouble {
            true => ms(2_000),
            false => Duration::ZERO,
        },
    };
    let size = Size { work, ..DOWNLOADS };
    let mut world = World::start(size)?;
    World::sleep(SETTLE_WINDOW + ms(1_000));
    let mut replacement = Replacement {
        next: 0,
        due: Instant::now(),
        warming: Vec::new(),
        drained: Vec::new(),
    };
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        replacement.step(&mut world, Instant::now())?;
        World::sleep(ms(10));
    }
    let wrong = world.wrong_resets();
    for reset in wrong.iter().take(20) {
        let age = reset.request_age.map_or(0.0, |age| age.as_secs_f64());
        let line = format!(
            "  at {:.3} flow {}>{} got a reset of the system's own through {}, {age:.3} s after it \
             sent a request that its target (boot {}) works on",
            world.at(reset.at),
            reset.flow.0,
            reset.flow.1,
            reset.node,
            reset.boot
        );
        world.note(&line);
    }
    world.note(&format!(
        "{} resets on open flows whose target lives",
        wrong.len()
    ));
    let line = world.latencies(ms(size.goals.latency_ms));
    world.note(&line);
    let broken = !wrong.is_empty();
    world.finish(record, &verdict("FLOW", broken))?;
    Ok(broken)
}

/// Targets are restarted in turn while balancers are restarted in turn. The disruption is
/// that the targets keep their ids; without it, each start has a new one.
pub fn same_id(trouble: bool, record: &str) -> Result<bool> {
    const LENGTH: Duration = Duration::from_secs(95);
    let mut world = World::start(LONG_FLOWS)?;
    settle(&mut world)?;
    let mut release = Release::new(trouble);
    let mut roll = Roll::new();
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        release.step(&mut world, Instant::now())?;
        roll.step(&mut world, Instant::now())?;
        World::sleep(ms(10));
    }
    let wrong = world.wrong_resets();
    for reset in wrong.iter().take(20) {
        let line = format!(
            "  at {:.3} flow {}>{} got a reset of the system's own through {}, while its target \
             (boot {}) lives",
            world.at(reset.at),
            reset.flow.0,
            reset.flow.1,
            reset.node,
            reset.boot
        );
        world.note(&line);
    }
    world.note(&format!(
        "{} resets on open flows whose target lives",
        wrong.len()
    ));
    let broken = !wrong.is_empty();
    world.finish(record, &verdict("FLOW", broken))?;
    Ok(broken)
}
