//! Processes of the project, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::template::{render, Field, Fields};

/// Name of the deploy file.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SEQUOIATRAIL_NODE_FILE";
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
/// `prctl` option: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, _: u64, _: u64, _: u64) -> i32;
}

/// Ports of all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub readiness: u16,
    pub control: u16,
    pub internal: u16,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub packets: SocketAddrV4,
    pub readiness: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn new(
        dir: &Path,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: Ports,
        store: SocketAddrV4,
        seeds: &[Ipv4Addr],
    ) -> Result<Machine> {
        let at = |port| SocketAddrV4::new(ip, port);
        let text = |value: &dyn ToString| Field::Text(value.to_string());
        let seeds = seeds.iter().map(|ip| format!("{ip}:{}", ports.control));
        let fields: Fields = vec![
            ("node_name", text(&name)),
            ("zone", text(&zone)),
            ("ip_address", text(&ip)),
            ("bind_addresses.datagram_address", text(&at(ports.packets))),
            (
                "bind_addresses.readiness_address",
                text(&at(ports.readiness)),
            ),
            ("bind_addresses.control_plane", text(&at(ports.control))),
            ("internal_port_range.0", text(&ports.internal)),
            ("platform.address", text(&store)),
            ("limits.bandwidth_mbps", text(&"1000.0")),
            ("bounds.max_flow_s", text(&60)),
            ("bounds.grace_period_s", text(&6)),
            ("seed_nodes", Field::List(seeds.collect())),
        ];
        let template = fs::read_to_string(deploy_value("template")?)?;
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, render(&template, &fields))?;
        Ok(Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            packets: at(ports.packets),
            readiness: at(ports.readiness),
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts the process. To be called on the main thread, whose end kills it.
    pub fn start(&mut self) -> Result<()> {
        let run = deploy_value("run")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Most memory that the process has used so far, in MB, without its program file and
    /// libraries; `None` if it does not run.
    pub fn peak_memory_mb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let kilobytes = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        let files = kilobytes("RssFile:")? + kilobytes("RssShmem:")?;
        Some(kilobytes("VmHWM:")?.saturating_sub(files) / 1_000)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            None => true,
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was not waited for yet, so that its id is not used again.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The text of a key in the deploy file.
fn deploy_value(key: &str) -> Result<String> {
    let file = fs::read_to_string(DEPLOY_FILE)?;
    let mut lines = file.lines().filter_map(|line| line.split_once(" = "));
    let found = lines.find(|(name, _)| name.trim() == key);
    let value = found.map(|(_, value)| value.trim().trim_matches('"').to_owned());
    value.ok_or_else(|| std::io::Error::other(format!("{DEPLOY_FILE} has no `{key}`")))
}
