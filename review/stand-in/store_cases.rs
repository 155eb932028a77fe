//! Further cases: what the store does, and what other writers leave in it.

use std::collections::HashMap;
use std::io::Result;
use std::time::{Duration, Instant};

use crate::cases::{check_drains, lose_all_processes, ms, settle, verdict, SHORT_FLOWS};
use crate::world::{World, SERVERS, SETTLE_WINDOW};

/// Memory of a machine, in MB, unless `MEMORY_MB` says otherwise.
const MEMORY_MB: u64 = 260;
/// Largest object, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Objects that another writer leaves, unless `ENTRIES` says otherwise.
const LARGE_ENTRIES: u64 = 14;
const SMALL_ENTRIES: u64 = 4_000;
/// Times that a process is killed before it counts, and on how many machines.
const MAX_ENDS: u64 = 3;
const MIN_MACHINES: usize = 2;
/// Objects per list page of the site.
const SITE_PAGE_SIZE: usize = 50;

fn from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok().and_then(|text| text.parse().ok());
    value.unwrap_or(default)
}

/// Kills processes that exceed their memory and starts them again, as the platform does.
#[derive(Default)]
struct MemoryLimit {
    limit_mb: u64,
    /// Times that the process of each machine was killed.
    kills: HashMap<usize, u64>,
    /// Machines whose process is to start again, and when.
    away: Vec<(Instant, usize)>,
    peak_mb: u64,
}

impl MemoryLimit {
    /// Time until a killed process starts again.
    const AWAY_FOR: Duration = Duration::from_millis(700);

    fn run(&mut self, world: &mut World, length: Duration) -> Result<()> {
        let end = Instant::now() + length;
        while Instant::now() < end {
            self.step(world)?;
            World::sleep(ms(10));
        }
        Ok(())
    }

    fn step(&mut self, world: &mut World) -> Result<()> {
        for n in 0..world.machines.len() {
            let Some(peak_mb) = world.machines[n].peak_memory_mb() else {
                continue;
            };
            self.peak_mb = self.peak_mb.max(peak_mb);
            if peak_mb <= self.limit_mb {
                continue;
            }
            world.machines[n].kill();
            let kills = self.kills.entry(n).or_default();
            *kills += 1;
            let name = &world.machines[n].name;
            let line = format!("{name} used {peak_mb} MB and was killed, for the {kills}. time");
            world.note(&line);
            self.away.push((Instant::now() + MemoryLimit::AWAY_FOR, n));
        }
        let now = Instant::now();
        let due = self.away.iter().position(|(at, _)| *at <= now);
        if let Some(at) = due {
            let (_, n) = self.away.remove(at);
            world.machines[n].start()?;
        }
        Ok(())
    }
}

/// Another writer leaves some large entries among those of the targets: each is valid JSON,
/// a list of small records in the place of the service's name.
pub fn large_entries(trouble: bool, record: &str) -> Result<bool> {
    let mut world = World::start(SHORT_FLOWS)?;
    settle(&mut world)?;
    let mut memory = MemoryLimit {
        limit_mb: from_env("MEMORY_MB", MEMORY_MB),
        ..MemoryLimit::default()
    };
    memory.run(&mut world, ms(1_000))?;
    let entries = match trouble {
        true => from_env("ENTRIES", LARGE_ENTRIES),
        false => 0,
    };
    let content = large_content();
    for n in 0..entries {
        let name = format!("inventory-{n:02}.json");
        world.store.put(SERVERS, &name, content.as_bytes());
        memory.run(&mut world, ms(20))?;
    }
    let line = format!(
        "another writer has left {entries} entries of {} bytes",
        content.len()
    );
    world.note(&line);
    memory.run(&mut world, ms(20_000))?;
    let before = world.tries();
    memory.run(&mut world, ms(10_000))?;
    let (tried, served) = world.tries_since(before);
    let line = format!(
        "in the last 10 s: {served} of {tried} requests served; most memory of a process: {} MB",
        memory.peak_mb
    );
    world.note(&line);
    let often = memory
        .kills
        .values()
        .filter(|kills| **kills >= MAX_ENDS)
        .count();
    let line = format!("{often} machines had processes that ended {MAX_ENDS} times or more");
    world.note(&line);
    let broken = often >= MIN_MACHINES;
    world.finish(record, &verdict("Fault", broken))?;
    Ok(broken)
}

/// The largest list of records that fits into an object.
fn large_content() -> String {
    const META_BYTES: usize = 400;
    let mut content = String::from("{\"service\":[{\"id\":0,\"state\":\"ok\"}");
    let mut id = 1;
    while content.len() + META_BYTES < MAX_VALUE_BYTES {
        content += &format!(",{{\"id\":{id},\"state\":\"ok\"}}");
        id += 1;
    }
    content + "]}"
}

/// Another writer leaves many small entries among those of the targets, and all processes
/// are killed later. With `FORM=history` they go on, but the store discards its history
/// once, and a target drains after that.
pub fn many_entries(trouble: bool, record: &str) -> Result<bool> {
    let mut world = World::start(SHORT_FLOWS)?;
    let page_size = from_env("PAGE", SITE_PAGE_SIZE as u64);
    world.store.set_page_size(page_size as usize);
    settle(&mut world)?;
    let entries = match trouble {
        true => from_env("ENTRIES", SMALL_ENTRIES),
        false => 0,
    };
    for n in 0..entries {
        let name = format!("leftover-{n:05}.old");
        world
            .store
            .put(SERVERS, &name, b"{\"service\":\"retired\",\"sequence\":1}");
        // Well below the store's rate of writes.
        World::sleep(ms(4));
    }
    let line = format!("another writer has left {entries} entries without most fields");
    world.note(&line);
    World::sleep(ms(3_000));
    if std::env::var("FORM").is_ok_and(|form| form == "history") {
        return drain_without_history(world, record);
    }
    let lost = lose_all_processes(&mut world)?;
    world.finish(record, &verdict("RECOVER", lost))?;
    Ok(lost)
}

fn drain_without_history(mut world: World, record: &str) -> Result<bool> {
    world.store.forget_history();
    world.note("the store discards its history");
    World::sleep(ms(1_000));
    let boot = world.targets[0].boot;
    let acknowledged = world.drain(0);
    World::sleep(ms(15_000));
    world.leave(0);
    World::sleep(ms(1_000));
    let broken = check_drains(&mut world, &[(boot, acknowledged, acknowledged)]);
    world.finish(record, &verdict("DRAIN", broken))?;
    Ok(broken)
}

/// All connections to the store that are open go silent once; new ones work.
pub fn silent_connections(trouble: bool, record: &str) -> Result<bool> {
    let mut world = World::start(SHORT_FLOWS)?;
    settle(&mut world)?;
    World::sleep(ms(3_000));
    let silent_at = Instant::now();
    if trouble {
        world.store.silence_connections();
        world.note("all open connections to the store go silent; new ones work");
    }
    World::sleep(ms(900));
    let boot = world.targets[0].boot;
    let acknowledged = world.drain(0);
    World::sleep(ms(9_000));
    world.leave(0);
    World::sleep(ms(1_000));
    // Counted only while all machines are in touch.
    let in_touch = silent_at + SETTLE_WINDOW;
    let broken = check_drains(&mut world, &[(boot, acknowledged, in_touch)]);
    world.finish(record, &verdict("DRAIN", broken))?;
    Ok(broken)
}

/// The store cuts off all waiting watches twice, and answers every other call. `GAP_MS` is
/// the time between, `DRAIN_MS` that from the first one to the drain of a target.
pub fn cut_watches(trouble: bool, record: &str) -> Result<bool> {
    let mut world = World::start(SHORT_FLOWS)?;
    settle(&mut world)?;
    World::sleep(ms(3_000));
    let first = Instant::now();
    let drain_at = first + ms(from_env("DRAIN_MS", 500));
    let mut cuts = vec![first + ms(from_env("GAP_MS", 2_000)), first];
    let mut acknowledged = None;
    let boot = world.targets[0].boot;
    while first.elapsed() < ms(10_000) {
        if cuts.last().is_some_and(|at| *at <= Instant::now()) {
            cuts.pop();
            if trouble {
                world.store.cut_watches();
                world.note("the store cuts off all waiting watches");
            }
        }
        if acknowledged.is_none() && Instant::now() >= drain_at {
            acknowledged = Some(world.drain(0));
        }
        World::sleep(ms(5));
    }
    world.leave(0);
    World::sleep(ms(1_000));
    // Nothing took the machines out of touch.
    let drains: Vec<_> = acknowledged.map(|at| (boot, at, at)).into_iter().collect();
    let broken = check_drains(&mut world, &drains);
    world.finish(record, &verdict("DRAIN", broken))?;
    Ok(broken)
}
