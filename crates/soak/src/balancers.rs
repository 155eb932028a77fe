//! Balancer processes. Only processes started here are ever signalled.

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

/// Balancers that all others know from their settings.
const SEEDS: usize = 3;
/// The key that balancers share.
const KEY: &str = "a key of the soak's balancers";

/// One balancer, which keeps its addresses when it is started again.
pub(crate) struct Balancer {
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    pub packets: SocketAddr,
    pub readiness: SocketAddr,
    pub link: Proxy,
    child: Option<Child>,
    /// Times that the process was found ended without having been told to.
    pub own_ends: u32,
}

impl Balancer {
    /// Writes its settings and starts it.
    pub fn start(
        number: usize,
        program: &Path,
        dir: &Path,
        store: SocketAddr,
        caller_port: u16,
        ports: &mut Ports,
        peers: &[SocketAddr],
    ) -> Result<Balancer> {
        let link = Proxy::start(store).context(SocketSnafu)?;
        let mut balancer = Balancer {
            program: program.to_owned(),
            file: dir.join(format!("balancer-{number}.toml")),
            log: dir.join(format!("balancer-{number}.log")),
            packets: ports.allocate(),
            readiness: ports.allocate(),
            link,
            child: None,
            own_ends: 0,
        };
        let text = balancer.settings(number, caller_port, peers);
        fs::write(&balancer.file, text).context(FileSnafu {
            file: &balancer.file,
        })?;
        balancer.spawn()?;
        Ok(balancer)
    }

    fn settings(&self, number: usize, caller_port: u16, peers: &[SocketAddr]) -> String {
        let seeds = peers.iter().take(SEEDS).map(|p| format!("\"{p}\""));
        let seeds: Vec<String> = seeds.collect();
        format!(
            "[node]\nname = \"balancer-{number}\"\n\
             [data]\nformat = \"cookie\"\nlisten = \"{}\"\n\
             [platform]\nendpoint = \"{}\"\n\
             [cookie]\nfailure_domain = \"a\"\nhttp_listen = \"{}\"\n\
             readiness_path = \"/sequoiatrail/readiness\"\ncaller_port = {caller_port}\n\
             peers_listen = \"{}\"\n\
             watch_wait_ms = 1000\nstop_grace_s = 4.0\n\
             [peers]\nkey = \"{KEY}\"\nseeds = [{}]\n[log]\nformat = \"json\"\n",
            self.packets,
            self.link.addr(),
            self.readiness,
            peers[number],
            seeds.join(","),
        )
    }

    /// Starts the process; its log goes on in the same file.
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

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        // It is not waited for yet, so that its number is not used again.
        let _ = kill(Pid::from_raw(child.id() as i32), signal);
    }

    /// Touches the settings file without changing what it says.
    pub fn touch(&self) -> Result<()> {
        let file = &self.file;
        let text = fs::read_to_string(file).context(FileSnafu { file })?;
        fs::write(file, text + "# touched\n").context(FileSnafu { file })
    }

    /// Whether the process has ended; it is collected then.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let ended = child.try_wait().is_ok_and(|status| status.is_some());
        if ended {
            self.child = None;
        }
        ended
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            // It was killed; what it returned says nothing.
            let _ = child.wait();
        }
    }
}
