//! The test environment: stand-ins and hosts as processes of their own, on free ports.

#![allow(dead_code, unreachable_pub)]

use std::fs;
use std::io::BufRead as _;
use std::io::Read as _;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

pub const SECRET: &str = "the-secret-of-the-tests";

/// A process that is killed when dropped.
pub struct ChildProcess {
    pub child: process::Child,
    pub address: net::SocketAddr,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ChildProcess {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("wait").code()
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub fn set_fault(&self, json: &str) {
        client().post(self.url("/fault")).send(json).expect("fault");
    }

    pub fn stats(&self) -> serde_json::Value {
        get_json(&self.url("/stats"))
    }
}

pub fn client() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(time::Duration::from_secs(60)))
        .build();
    config.new_agent()
}

pub fn get_json(url: &str) -> serde_json::Value {
    let body = client()
        .get(url)
        .call()
        .expect("get")
        .body_mut()
        .read_to_vec()
        .expect("body");
    serde_json::from_slice(&body).expect("json")
}

/// Waits until `ready` holds.
pub fn wait_until(what: &str, mut ready: impl FnMut() -> bool) {
    let end = time::Instant::now() + time::Duration::from_secs(30);
    while !ready() {
        assert!(time::Instant::now() < end, "waited in vain for {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// A port that nothing uses, below the range from which the system takes ports for connections:
/// one of that range could be taken before its host binds it.
pub fn free_port() -> net::SocketAddr {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    const FIRST: u32 = 15_000;
    const COUNT: u32 = 15_000;
    loop {
        let n = NEXT.fetch_add(1, atomic::Ordering::SeqCst);
        let port = FIRST + (process::id() * 61 + n) % COUNT;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port as u16));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn binary_path(name: &str) -> path::PathBuf {
    let host = path::Path::new(env!("CARGO_BIN_EXE_jacinthslip"));
    let found = host.parent().expect("folder").join(name);
    assert!(
        found.exists(),
        "{} is not built: run 'cargo test --workspace'",
        found.display()
    );
    found
}

pub fn spawn_standin(kind: &str) -> ChildProcess {
    spawn_standin_with(kind, &[])
}

pub fn spawn_standin_with(kind: &str, args: &[&str]) -> ChildProcess {
    let mut child = process::Command::new(binary_path("examples/standin"))
        .args([kind, "127.0.0.1:0"])
        .args(args)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("stand-in");
    let mut line = String::new();
    let out = child.stdout.take().expect("stdout");
    std::io::BufReader::new(out)
        .read_line(&mut line)
        .expect("address");
    ChildProcess {
        child,
        address: line.trim().parse().expect("address"),
    }
}

/// Where a host stands and listens.
#[derive(Clone)]
pub struct HostConfig {
    pub name: String,
    pub dc: String,
    pub listen: net::SocketAddr,
    pub peer: net::SocketAddr,
}

/// A whole site.
pub struct Site {
    pub dir: path::PathBuf,
    pub store: ChildProcess,
    pub platform: ChildProcess,
    pub engines: Vec<ChildProcess>,
    pub plain: ChildProcess,
    pub host_configs: Vec<HostConfig>,
    pub hosts: Vec<Option<ChildProcess>>,
    /// Lines added to every host's settings under `times`.
    pub times_yaml: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Stand-ins for a site; `dcs` names the data centre of each host.
    pub fn new(dcs: &[&str], engines: usize) -> Self {
        let dir =
            std::env::temp_dir().join(format!("jacinth-{}-{}", process::id(), free_port().port()));
        fs::create_dir_all(&dir).expect("folder");
        let mut host_configs = Vec::new();
        for (n, dc) in dcs.iter().enumerate() {
            host_configs.push(HostConfig {
                name: format!("h{}", n + 1),
                dc: (*dc).to_owned(),
                listen: free_port(),
                peer: free_port(),
            });
        }
        Self {
            dir,
            store: spawn_standin("store"),
            platform: spawn_standin("platform"),
            engines: (0..engines).map(|_| spawn_standin("engine")).collect(),
            plain: spawn_standin("plain"),
            hosts: host_configs.iter().map(|_| None).collect(),
            host_configs,
            times_yaml: "linger_ms: 100\n  flush_ms: 300\n  lease_ms: 1500".to_owned(),
        }
    }

    /// The settings file of a host.
    pub fn write_settings(&self, n: usize) -> path::PathBuf {
        let config = &self.host_configs[n];
        let mut peers = String::new();
        for other in &self.host_configs {
            if other.name != config.name {
                peers.push_str(&format!(
                    "\n  - {{name: {}, dc: {}, address: \"{}\"}}",
                    other.name, other.dc, other.peer
                ));
            }
        }
        let text = format!(
            "host: {}\ndc: {}\nregion: r\nlisten: \"{}\"\npeer: \"{}\"\nstore: \"{}\"\n\
             platform: \"{}\"\nsecret: {SECRET}\npeers:{}\ntimes:\n  {}\n",
            config.name,
            config.dc,
            config.listen,
            config.peer,
            self.store.address,
            self.platform.address,
            if peers.is_empty() { " []" } else { &peers },
            self.times_yaml
        );
        let file = self.dir.join(format!("{}.yaml", config.name));
        fs::write(&file, text).expect("settings");
        file
    }

    /// Starts host `n` without waiting for it.
    pub fn spawn(&mut self, n: usize) {
        self.write_settings(n);
        self.spawn_with_existing_settings(n);
    }

    /// Starts host `n` with its settings file as it stands.
    pub fn spawn_with_existing_settings(&mut self, n: usize) {
        let file = self.dir.join(format!("{}.yaml", self.host_configs[n].name));
        let log = fs::File::create(self.dir.join(format!("h{}.log", n + 1))).expect("log");
        let child = process::Command::new(binary_path("jacinthslip"))
            .args(["serve", "--settings"])
            .arg(file)
            .stdout(log)
            .stderr(process::Stdio::inherit())
            .spawn()
            .expect("host");
        self.hosts[n] = Some(ChildProcess {
            child,
            address: self.host_configs[n].listen,
        });
    }

    /// Starts host `n` and waits until it is ready.
    pub fn start(&mut self, n: usize) {
        self.spawn(n);
        self.wait_ready(n);
    }

    pub fn wait_ready(&self, n: usize) {
        let url = self.url(n, "/readyz");
        wait_until("a ready host", || {
            client()
                .get(&url)
                .call()
                .is_ok_and(|a| a.status().as_u16() == 200)
        });
    }

    /// Starts all hosts and waits until all know each other.
    pub fn start_all(&mut self) {
        for n in 0..self.host_configs.len() {
            self.spawn(n);
        }
        for n in 0..self.host_configs.len() {
            self.wait_ready(n);
        }
    }

    pub fn host(&self, n: usize) -> &ChildProcess {
        self.hosts[n].as_ref().expect("running host")
    }

    pub fn host_mut(&mut self, n: usize) -> &mut ChildProcess {
        self.hosts[n].as_mut().expect("running host")
    }

    pub fn url(&self, n: usize, path: &str) -> String {
        format!("http://{}{path}", self.host_configs[n].listen)
    }

    /// What host `n` has logged.
    pub fn log(&self, n: usize) -> String {
        fs::read_to_string(self.dir.join(format!("h{}.log", n + 1))).unwrap_or_default()
    }

    /// Runs `jacinthctl`; gives its exit code, output and errors.
    pub fn ctl(&self, args: &[&str]) -> (i32, String, String) {
        ctl(args)
    }

    /// The site's document: a drafter on all engines and a ledger on the plain service.
    pub fn document(&self) -> String {
        let mut engines = String::new();
        for (n, e) in self.engines.iter().enumerate() {
            let dc = &self.host_configs[n % self.host_configs.len()].dc;
            engines.push_str(&format!(
                "      - {{name: e{n}, dc: {dc}, address: \"{}\", slots: 8}}\n",
                e.address
            ));
        }
        let mut drafter = String::new();
        if !engines.is_empty() {
            drafter = format!(
                "  - name: drafter\n    kind: engine\n    models: [drafter-7b]\n    upstreams:\n{engines}"
            );
        }
        let mut plain = String::new();
        let mut dcs: Vec<&str> = self.host_configs.iter().map(|p| p.dc.as_str()).collect();
        dcs.sort_unstable();
        dcs.dedup();
        for dc in dcs {
            plain.push_str(&format!(
                "      - {{name: p-{dc}, dc: {dc}, address: \"{}\", slots: 64}}\n",
                self.plain.address
            ));
        }
        format!(
            "classes:\n  - {{name: chat, tier: 0, first_ms: 10000}}\n  \
             - {{name: batch, tier: 2, first_ms: 60000, floor: 0.05}}\n\
             teams:\n  - {{name: quotes, classes: [chat, batch], weight: 2}}\n  \
             - {{name: crews, classes: [batch]}}\n\
             services:\n{drafter}  - name: ledger\n    kind: plain\n    teams: [quotes]\n    \
             upstreams:\n{plain}  - name: hours\n    kind: plain\n    open: true\n    \
             idempotent: true\n    upstreams:\n{}",
            plain.replace("p-", "o-")
        )
    }

    /// Applies the site's document and promotes it.
    pub fn apply(&self, document: &str) {
        let file = self.dir.join("site.yaml");
        fs::write(&file, document).expect("document");
        let store = self.store.address.to_string();
        let file = file.display().to_string();
        let (code, out, err) = ctl(&["apply", "--store", &store, &file]);
        assert_eq!(code, 0, "{out}{err}");
        let digest = word_after(&out, "digest");
        let (code, out, err) = ctl(&["promote", "--store", &store, "--digest", &digest]);
        assert_eq!(code, 0, "{out}{err}");
    }

    /// Issues a key for a team.
    pub fn issue_key(&self, team: &str) -> String {
        let store = self.store.address.to_string();
        let (code, out, err) = ctl(&["issue", "--store", &store, "--team", team]);
        assert_eq!(code, 0, "{err}");
        out.trim().to_owned()
    }

    /// A site with its document applied, all hosts started, and a key of team `quotes`.
    pub fn ready(dcs: &[&str], engines: usize) -> (Self, String) {
        let mut site = Self::new(dcs, engines);
        site.apply(&site.document());
        let key = site.issue_key("quotes");
        site.start_all();
        (site, key)
    }
}

pub fn ctl(args: &[&str]) -> (i32, String, String) {
    let out = process::Command::new(binary_path("jacinthctl"))
        .args(args)
        .output()
        .expect("jacinthctl");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        out.status.code().unwrap_or(-1),
        text(&out.stdout),
        text(&out.stderr),
    )
}

/// The word after `mark` in `text`.
pub fn word_after(text: &str, mark: &str) -> String {
    let mut words = text.split_whitespace();
    words.find(|w| *w == mark);
    words.next().unwrap_or_default().to_owned()
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    pub fn reason(&self) -> String {
        self.json()["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn execution(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// The text of a streamed answer.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for data in self.events() {
            let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            out.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
        out
    }

    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.body.lines().filter_map(|l| l.strip_prefix("data: "))
    }

    /// Whether a streamed answer came to its end mark.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.events().last() == Some("[DONE]")
    }
}

/// A call to a host; an error if the connection breaks.
pub fn call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, String> {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).map_err(|e| e.to_string())?;
    let mut answer = client().run(request).map_err(|e| e.to_string())?;
    let retry_after = answer
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let status = answer.status().as_u16();
    let mut text = String::new();
    let reader = answer.body_mut().as_reader().read_to_string(&mut text);
    reader.map_err(|e| e.to_string())?;
    Ok(Response {
        status,
        retry_after,
        body: text,
    })
}

/// A chat request's body.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "drafter-7b", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// A streamed chat completion.
pub fn chat(url: &str, key: &str, prompt: &str, tokens: u64) -> Result<Response, String> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("Content-Type", "application/json"),
    ];
    call("POST", url, &headers, &chat_body(prompt, tokens, true))
}
