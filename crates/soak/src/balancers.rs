//! Balancer processes. Signals go only to processes started here.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sequoiatrail_stand_in::Ports;
use snafu::ResultExt;

use crate::error::{FileSnafu, Result, SocketSnafu, StartSnafu};
use crate::proxy::Proxy;

/// Number of balancers that are in the seed list of all balancers.
const SEED_PEERS: usize = 3;
/// Shared key of the balancers.
const PEER_KEY: &str = "a key of the soak's balancers";

/// A balancer process; a restart keeps its addresses.
pub(crate) struct Balancer {
    /// Started by the next [`Balancer::spawn`].
    pub program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    pub packets: SocketAddr,
    pub readiness: SocketAddr,
    pub store_proxy: Proxy,
    child: Option<Child>,
    /// Number of exits that the run did not cause.
    pub unexpected_exits: u32,
}

impl Balancer {
    /// Writes the settings file and starts the process.
    pub fn start(
        number: usize,
        program: &Path,
        dir: &Path,
        store: SocketAddr,
        caller_port: u16,
        ports: &mut Ports,
        peers: &[SocketAddr],
    ) -> Result<Balancer> {
        let store_proxy = Proxy::start(store).context(SocketSnafu)?;
        let mut balancer = Balancer {
            program: program.to_owned(),
            file: dir.join(format!("balancer-{number}.toml")),
            log: dir.join(format!("balancer-{number}.log")),
            packets: ports.allocate(),
            readiness: ports.allocate(),
            store_proxy,
            child: None,
            unexpected_exits: 0,
        };
        let text = balancer.settings(number, caller_port, peers);
        fs::write(&balancer.file, text).context(FileSnafu {
            file: &balancer.file,
        })?;
        balancer.spawn()?;
        Ok(balancer)
    }

    fn settings(&self, number: usize, caller_port: u16, peers: &[SocketAddr]) -> String {
        let seeds = peers.iter().take(SEED_PEERS).map(|p| format!("\"{p}\""));
        let seeds: Vec<String> = seeds.collect();
        format!(
            "[node]\nname = \"balancer-{number}\"\n\
             [data]\nformat = \"cookie\"\nlisten = \"{}\"\n\
             [platform]\nendpoint = \"{}\"\n\
             [cookie]\nfailure_domain = \"a\"\nhttp_listen = \"{}\"\n\
             readiness_path = \"/sequoiatrail/readiness\"\ncaller_port = {caller_port}\n\
             peers_listen = \"{}\"\nload_exchange = true\n\
             watch_wait_ms = 1000\nstop_grace_s = 4.0\nevacuations = true\n\
             [peers]\nkey = \"{PEER_KEY}\"\nseeds = [{}]\n[log]\nformat = \"json\"\n",
            self.packets,
            self.store_proxy.addr(),
            self.readiness,
            peers[number],
            seeds.join(","),
        )
    }

    /// Starts the process and appends to its log file.
    pub fn spawn(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.context(FileSnafu { file: &self.log })?;
        let errors = log.try_clone().context(FileSnafu { file: &self.log })?;
        let child = Command::new(&self.program)
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(StartSnafu {
                program: &self.program,
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        // The child has not been reaped yet, so its process id is not reused.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Changes the settings file without changing any setting.
    pub fn touch(&self) -> Result<()> {
        let file = &self.file;
        let text = fs::read_to_string(file).context(FileSnafu { file })?;
        fs::write(file, text + "# touched\n").context(FileSnafu { file })
    }

    /// Whether the process has exited; reaps it if so.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let exited = child.try_wait().is_ok_and(|status| status.is_some());
        if exited {
            self.child = None;
        }
        exited
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            // The exit status of a killed process carries no information.
            let _ = child.wait();
        }
    }
}
