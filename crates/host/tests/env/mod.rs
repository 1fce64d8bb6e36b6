//! Test environment that runs stand-ins and hosts as separate processes on free loopback ports.

#![allow(dead_code, unreachable_pub)]

use std::fs;
use std::io::BufRead as _;
use std::io::Read as _;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use standin::address;

/// Shared secret in the settings of every test host; `jacinthctl block` needs it too.
pub const SECRET: &str = "the-secret-of-the-tests";

/// Stand-in or host process that is killed on drop.
pub struct ChildProcess {
    pub child: process::Child,
    /// Address on which the process serves HTTP.
    pub address: net::SocketAddr,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ChildProcess {
    /// Sends a Unix signal such as `libc::SIGTERM`.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so its process ID has not been reused.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Sends `SIGKILL` and waits until the process has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends. Returns its exit code, `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("wait").code()
    }

    /// URL of `path` on this process.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sets the fault that a stand-in injects; `{}` clears it.
    pub fn set_fault(&self, json: &str) {
        client().post(self.url("/fault")).send(json).expect("fault");
    }

    /// Counters of a stand-in, as JSON.
    pub fn stats(&self) -> serde_json::Value {
        get_json(&self.url("/stats"))
    }
}

/// HTTP client with a timeout of 60 s that returns error statuses as responses.
pub fn client() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(time::Duration::from_secs(60)))
        .build();
    config.new_agent()
}

/// Body of a `GET` request, parsed as JSON.
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

/// Polls `condition` every 20 ms and panics with `what` if it is not true within 30 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + time::Duration::from_secs(30);
    while !condition() {
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting for {what}"
        );
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// Path of a program of this workspace, built in the same target folder as the host.
fn binary_path(name: &str) -> path::PathBuf {
    let host_binary = path::Path::new(env!("CARGO_BIN_EXE_jacinthslip"));
    let binary = host_binary.parent().expect("folder").join(name);
    assert!(
        binary.exists(),
        "{} is not built: run 'cargo test --workspace'",
        binary.display()
    );
    binary
}

/// Starts a stand-in of the given kind (`store`, `platform`, `engine` or `plain`) on a free port.
pub fn spawn_standin(kind: &str) -> ChildProcess {
    spawn_standin_with(kind, &[])
}

/// Starts a stand-in with additional arguments and waits until it prints its address.
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

/// Identity and addresses of a test host.
#[derive(Clone)]
pub struct HostConfig {
    pub name: String,
    pub dc: String,
    /// Address for client requests.
    pub listen: net::SocketAddr,
    /// Address for connections of other hosts.
    pub peer: net::SocketAddr,
}

/// Test site: stand-ins for everything that a host connects to, and the hosts.
pub struct Site {
    /// Temporary directory of settings files and logs, removed on drop.
    pub dir: path::PathBuf,
    pub store: ChildProcess,
    pub platform: ChildProcess,
    pub engines: Vec<ChildProcess>,
    /// Upstream of the services of kind `plain`.
    pub plain: ChildProcess,
    pub host_configs: Vec<HostConfig>,
    /// Host processes in the order of `host_configs`; `None` before the first start.
    pub hosts: Vec<Option<ChildProcess>>,
    /// YAML lines of the `times` section in the settings of every host.
    pub times_yaml: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    /// Starts the stand-ins. `dcs` has one entry for each host, the name of its data centre.
    pub fn new(dcs: &[&str], engine_count: usize) -> Self {
        let dir = std::env::temp_dir().join(format!(
            "jacinth-{}-{}",
            process::id(),
            address::free_address().port()
        ));
        fs::create_dir_all(&dir).expect("folder");
        let mut host_configs = Vec::new();
        for (n, dc) in dcs.iter().enumerate() {
            host_configs.push(HostConfig {
                name: format!("h{}", n + 1),
                dc: (*dc).to_owned(),
                listen: address::free_address(),
                peer: address::free_address(),
            });
        }
        Self {
            dir,
            store: spawn_standin("store"),
            platform: spawn_standin("platform"),
            engines: (0..engine_count).map(|_| spawn_standin("engine")).collect(),
            plain: spawn_standin("plain"),
            hosts: host_configs.iter().map(|_| None).collect(),
            host_configs,
            times_yaml: "linger_ms: 100\n  flush_ms: 300\n  lease_ms: 1500".to_owned(),
        }
    }

    /// Writes the settings file of host `n` and returns its path.
    pub fn write_settings(&self, n: usize) -> path::PathBuf {
        let config = &self.host_configs[n];
        let mut peers_yaml = String::new();
        for other in &self.host_configs {
            if other.name != config.name {
                peers_yaml.push_str(&format!(
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
            if peers_yaml.is_empty() {
                " []"
            } else {
                &peers_yaml
            },
            self.times_yaml
        );
        let file = self.dir.join(format!("{}.yaml", config.name));
        fs::write(&file, text).expect("settings");
        file
    }

    /// Writes the settings of host `n` and starts it without waiting until it is ready.
    pub fn spawn(&mut self, n: usize) {
        self.write_settings(n);
        self.spawn_with_existing_settings(n);
    }

    /// Starts host `n` with its existing settings file, which a test may have edited.
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

    /// Waits until `/readyz` of host `n` responds with status 200.
    pub fn wait_ready(&self, n: usize) {
        let url = self.url(n, "/readyz");
        wait_until("the host to become ready", || {
            client()
                .get(&url)
                .call()
                .is_ok_and(|r| r.status().as_u16() == 200)
        });
    }

    /// Starts all hosts and waits until each is ready.
    pub fn start_all(&mut self) {
        for n in 0..self.host_configs.len() {
            self.spawn(n);
        }
        for n in 0..self.host_configs.len() {
            self.wait_ready(n);
        }
    }

    /// Process of host `n`, which must have been started.
    pub fn host(&self, n: usize) -> &ChildProcess {
        self.hosts[n].as_ref().expect("running host")
    }

    /// Mutable access to the process of host `n`, to kill it or wait for it.
    pub fn host_mut(&mut self, n: usize) -> &mut ChildProcess {
        self.hosts[n].as_mut().expect("running host")
    }

    /// URL of `path` at the client address of host `n`, also while the host is not running.
    pub fn url(&self, n: usize, path: &str) -> String {
        format!("http://{}{path}", self.host_configs[n].listen)
    }

    /// Log of host `n` since its last start.
    pub fn log(&self, n: usize) -> String {
        fs::read_to_string(self.dir.join(format!("h{}.log", n + 1))).unwrap_or_default()
    }

    /// Runs `jacinthctl` and returns its exit code, standard output and standard error.
    pub fn ctl(&self, args: &[&str]) -> (i32, String, String) {
        ctl(args)
    }

    /// Configuration document with three services: `drafter` on all engines, and `ledger` and the
    /// public `hours` on the plain upstream.
    pub fn document(&self) -> String {
        let mut engines_yaml = String::new();
        for (n, engine) in self.engines.iter().enumerate() {
            let dc = &self.host_configs[n % self.host_configs.len()].dc;
            engines_yaml.push_str(&format!(
                "      - {{name: e{n}, dc: {dc}, address: \"{}\", slots: 8}}\n",
                engine.address
            ));
        }
        let mut drafter_yaml = String::new();
        if !engines_yaml.is_empty() {
            drafter_yaml = format!(
                "  - name: drafter\n    kind: engine\n    models: [drafter-7b]\n    upstreams:\n{engines_yaml}"
            );
        }
        let mut plain_yaml = String::new();
        let mut dcs: Vec<&str> = self.host_configs.iter().map(|p| p.dc.as_str()).collect();
        dcs.sort_unstable();
        dcs.dedup();
        for dc in dcs {
            plain_yaml.push_str(&format!(
                "      - {{name: p-{dc}, dc: {dc}, address: \"{}\", slots: 64}}\n",
                self.plain.address
            ));
        }
        format!(
            "classes:\n  - {{name: chat, tier: 0, first_ms: 10000}}\n  \
             - {{name: batch, tier: 2, first_ms: 60000, floor: 0.05}}\n\
             teams:\n  - {{name: quotes, classes: [chat, batch], weight: 2}}\n  \
             - {{name: crews, classes: [batch]}}\n\
             services:\n{drafter_yaml}  - name: ledger\n    kind: plain\n    teams: [quotes]\n    \
             upstreams:\n{plain_yaml}  - name: hours\n    kind: plain\n    open: true\n    \
             idempotent: true\n    upstreams:\n{}",
            plain_yaml.replace("p-", "o-")
        )
    }

    /// Applies a configuration document and promotes it to all hosts.
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

    /// Issues an API key for a team.
    pub fn issue_key(&self, team: &str) -> String {
        let store = self.store.address.to_string();
        let (code, out, err) = ctl(&["issue", "--store", &store, "--team", team]);
        assert_eq!(code, 0, "{err}");
        out.trim().to_owned()
    }

    /// Starts a site with its document applied and all hosts ready. Also returns an API key of the
    /// team `quotes`.
    pub fn ready(dcs: &[&str], engine_count: usize) -> (Self, String) {
        let mut site = Self::new(dcs, engine_count);
        site.apply(&site.document());
        let key = site.issue_key("quotes");
        site.start_all();
        (site, key)
    }
}

/// Runs `jacinthctl` and returns its exit code (-1 if a signal ended it), standard output and
/// standard error.
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

/// Word that follows the first occurrence of the word `label` in `text`; empty if there is none.
pub fn word_after(text: &str, label: &str) -> String {
    let mut words = text.split_whitespace();
    words.find(|w| *w == label);
    words.next().unwrap_or_default().to_owned()
}

/// HTTP response of a host, with its body read to the end.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
    pub body: String,
}

impl Response {
    /// Body parsed as JSON; `null` if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Field `reason` of an error response; empty if there is none.
    pub fn reason(&self) -> String {
        self.json()["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Field `run` of an error response: whether an upstream may have run the request.
    pub fn execution(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Generated text of a streamed chat completion.
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

    /// Data of the server-sent events in the body.
    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.body.lines().filter_map(|l| l.strip_prefix("data: "))
    }

    /// Whether a streamed response has status 200 and ends with `[DONE]`.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.events().last() == Some("[DONE]")
    }
}

/// Sends a request and reads the response. Returns an error if the connection breaks.
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
    let mut response = client().run(request).map_err(|e| e.to_string())?;
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let status = response.status().as_u16();
    let mut text = String::new();
    let reader = response.body_mut().as_reader().read_to_string(&mut text);
    reader.map_err(|e| e.to_string())?;
    Ok(Response {
        status,
        retry_after,
        body: text,
    })
}

/// Body of a chat completion request to the model `drafter-7b`.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "drafter-7b", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// Requests a streamed chat completion of at most `tokens` tokens.
pub fn chat(url: &str, key: &str, prompt: &str, tokens: u64) -> Result<Response, String> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("Content-Type", "application/json"),
    ];
    call("POST", url, &headers, &chat_body(prompt, tokens, true))
}
