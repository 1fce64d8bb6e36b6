//! A host: the process of the deploy file, with a settings file of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Memory of a machine in the settings, in MB, as on the smaller installation of the pages.
pub const MEMORY_MB: u64 = 110;
/// Time from SIGTERM to SIGKILL in the settings, in seconds.
pub const GRACE_S: u64 = 8;

/// Addresses and files of the things around a host.
pub struct Site<'a> {
    /// Root of the repository, in which the process starts.
    pub root: &'a Path,
    /// Temporary folder for the settings file and the host's log.
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// A running host.
pub struct Host {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    /// Starts a host and waits until it is ready.
    pub fn start(site: &Site<'_>, name: &str) -> Result<Self, String> {
        for _ in 0..5 {
            let mut host = Self::spawn(site, name)?;
            let end = Instant::now() + Duration::from_secs(10);
            while Instant::now() < end && !host.has_ended() {
                if host.is_ready() {
                    return Ok(host);
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Err("the host did not become ready".to_owned())
    }

    fn spawn(site: &Site<'_>, name: &str) -> Result<Self, String> {
        let [front, ready, control, metrics] = free_addresses();
        let (store, cloud) = (site.store, site.cloud);
        let (first_port, last_port) = (metrics.port() - 1, metrics.port());
        let settings = format!(
            "node: \"{name}\"\nrole: \"host\"\nmachine_class: \"edge\"\nserves: [\"edge\", \"ctl\"]\n\
             ip: \"127.0.0.1\"\nzone: \"amman-a\"\nregion: \"amman\"\nzones: {{amman-a: \"amman\"}}\n\
             listen: {{front: \"{front}\", ready: \"{ready}\", control: \"{control}\"}}\n\
             port_range: [{first_port}, {last_port}]\nseeds: [\"{control}\"]\nbootstrap: true\n\
             limits: {{cpu_share: 0.25, cores: 1, memory_mb: {MEMORY_MB}, max_fds: 4100, \
             link_mbps: 1000.0, disk_mb: 0}}\ndata_dir: null\nheartbeat_ms: 1200\n\
             bounds: {{contact_ms: 4000, drain_ms: 2500, grace_s: {GRACE_S}, loss_slack_ms: 200, \
             config_ms: 2500, budget_ratio: 0.2, budget_window_s: 10, budget_extra: 52, \
             fencing: false, lease_ms: 3000, thaw_ms: 300, window_s: 5, usage_late_s: 10}}\n\
             platform: {{addr: \"{store}\", form: \"kv\", writes_per_s: 400, reads_per_s: 2000, \
             history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}}\n\
             cloud: {{addr: \"{cloud}\", rate_per_s: 50.0, duties: [\"metering\"], \
             duty_per_s: 50.0}}\n"
        );
        let path: PathBuf = site.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|e| format!("settings: {e}"))?;
        let log = fs::File::create(site.folder.join(format!("{name}.log")));
        let log = log.map_err(|e| format!("log: {e}"))?;
        // The command `run` of the deploy file.
        let child = Command::new(site.root.join("target/release/jacinthslip"))
            .arg("platform")
            .env("JACINTHSLIP_CONFIG", &path)
            .current_dir(site.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("jacinthslip: {e}"))?;
        Ok(Self {
            front,
            ready,
            child,
        })
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal by its name, such as `TERM`, unless the process has ended.
    pub fn signal(&mut self, name: &str) {
        if self.has_ended() {
            return;
        }
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Resident memory of the process in MB; 0 if it has ended.
    pub fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().split(' ').next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1_000.0
    }
}

/// Free addresses of 127.0.0.1, of which the last has a port above another free one.
fn free_addresses() -> [SocketAddr; 4] {
    let sockets: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let address = |i: usize| sockets[i].local_addr().expect("bound");
    [address(0), address(1), address(2), address(3)]
}
