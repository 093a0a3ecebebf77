//! A region of gateway daemons that run as processes on loopback addresses.

use fake::FaultProxy;
use platform::{
    control::READY_PATH,
    stand_in::{parts_header_line, request_header_lines, request_header_lines_for},
};
use proxy::Connector;
use std::{
    collections::BTreeMap,
    env, fs,
    io::{Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use toucansilld::gateway;

/// Timeout for a condition that a test waits for. Only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which such a condition is checked.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One daemon. Each has a loopback address of its own, as all use the same ports.
struct DaemonConfig {
    ip: String,
    name: String,
    is_control: bool,
    data_centre: String,
    /// Addresses that its connections to upstreams are made to instead of the upstreams' own.
    routes: Routes,
    /// Program of an earlier build, if it runs one.
    earlier_build: Option<PathBuf>,
    /// Further environment variables.
    variables: Vec<(&'static str, PathBuf)>,
    /// Seeds in its settings, if not those of the region.
    seeds: Option<Vec<SocketAddr>>,
}

/// Address that connections to an upstream are made to, by the address of the upstream.
pub(crate) type Routes = BTreeMap<SocketAddr, SocketAddr>;

/// Environment variable with the settings file of a daemon that [`run_routed_daemon`] runs, and its
/// routes in JSON, on separate lines.
const ROUTED_DAEMON: &str = "TOUCANSILL_TEST_ROUTED_DAEMON";

/// Runs the daemon that the environment describes, whose connections to upstreams take other routes
/// than those of other daemons. Returns at once if it describes none.
pub(crate) fn run_routed_daemon() {
    let Ok(config) = env::var(ROUTED_DAEMON) else { return };
    let (file, routes) = config.split_once('\n').expect("two lines");
    let routes: Routes = serde_json::from_str(routes).expect("routes");
    let connector =
        Connector::through(move |address| routes.get(&address).copied().unwrap_or(address));
    gateway::run_with(Path::new(file), connector).expect("a daemon that stops as it is told");
    // The daemon's log has locked the standard output, to which the test harness would write.
    process::exit(0);
}

/// Daemons of a region, with their folders. Dropping it kills them.
pub(crate) struct Region {
    dir: TempDir,
    base_port: u16,
    daemons: Vec<DaemonConfig>,
    control_count: usize,
    seed_count: usize,
    children: Vec<Option<Child>>,
    attempts: AtomicU64,
    /// Time within which an acknowledged change must be in force.
    apply_ms: u64,
    /// Time from the stop signal until a daemon would be killed.
    stop_ms: u64,
    /// Log entries after which control daemons take snapshots, if not the default.
    snapshot_entries: Option<u64>,
    /// Whether the settings allow requests to be sent again.
    has_retries: bool,
    /// Number of disks that the group has to be able to lose at once.
    tolerated_losses: usize,
    /// Further bounds in the settings, each after a comma.
    more_bounds: &'static str,
}

impl Region {
    /// Creates a region of control daemons and one entry. None is started.
    pub(crate) fn new(control_count: usize) -> Self {
        Self::with_entries(control_count, 1)
    }

    /// Creates a region of control daemons and entries. None is started.
    pub(crate) fn with_entries(control_count: usize, entry_count: usize) -> Self {
        let (subnet, base_port) = free_subnet();
        let daemon = |i: usize, is_control| DaemonConfig {
            ip: format!("127.{}.{}.{}", subnet.0, subnet.1, i + 1),
            name: format!("{}-{i}", if is_control { "control" } else { "entry" }),
            is_control,
            data_centre: String::from("dc-1"),
            routes: Routes::new(),
            earlier_build: None,
            variables: Vec::new(),
            seeds: None,
        };
        let mut daemons: Vec<DaemonConfig> = (0..control_count).map(|i| daemon(i, true)).collect();
        daemons.extend((control_count..control_count + entry_count).map(|i| daemon(i, false)));
        let children = daemons.iter().map(|_| None).collect();
        let dir = tempfile::tempdir().expect("a folder");
        let attempts = AtomicU64::new(1);
        Self {
            dir,
            base_port,
            daemons,
            control_count,
            seed_count: control_count.min(3),
            children,
            attempts,
            apply_ms: 2_000,
            stop_ms: 4_000,
            snapshot_entries: None,
            has_retries: true,
            tolerated_losses: (control_count - 1) / 2,
            more_bounds: "",
        }
    }

    /// Sets the time within which an acknowledged change must be in force; the acknowledgement
    /// waits for a third of it.
    pub(crate) fn set_apply_ms(&mut self, apply_ms: u64) {
        self.apply_ms = apply_ms;
    }

    /// Sets the time from the stop signal until a daemon would be killed, before its start.
    pub(crate) fn set_stop_ms(&mut self, stop_ms: u64) {
        self.stop_ms = stop_ms;
    }

    /// Sets how many disks the group has to be able to lose at once, before its start. Without it, that is
    /// the minority of the control daemons.
    pub(crate) fn set_tolerated_losses(&mut self, losses: usize) {
        self.tolerated_losses = losses;
    }

    /// Sets the data centre of daemon `i`, before its start.
    pub(crate) fn set_data_centre(&mut self, i: usize, data_centre: &str) {
        self.daemons[i].data_centre = data_centre.to_owned();
    }

    /// Leads the links between the control daemons through proxies, before their start. Returns one
    /// for each control daemon, through which the others connect to it.
    pub(crate) fn route_control_links(&mut self) -> Vec<FaultProxy> {
        let links: Vec<SocketAddr> =
            (0..self.control_count).map(|i| self.links_address(i)).collect();
        let start = |links: &SocketAddr| FaultProxy::start(*links).expect("a free port");
        let proxies: Vec<FaultProxy> = links.iter().map(start).collect();
        let routes = links.into_iter().zip(proxies.iter().map(FaultProxy::address));
        let routes: Routes = routes.collect();
        for i in 0..self.control_count {
            let mut others = routes.clone();
            others.remove(&self.links_address(i));
            self.daemons[i].routes = others;
        }
        proxies
    }

    /// Leads the link of daemon `i` to the first control daemon through a proxy, before its start.
    pub(crate) fn route_link_to_control(&mut self, i: usize) -> FaultProxy {
        let links = self.links_address(0);
        let proxy = FaultProxy::start(links).expect("a free port");
        self.daemons[i].routes.insert(links, proxy.address());
        proxy
    }

    /// Loopback address of a daemon, followed by a colon as before a port.
    pub(crate) fn ip(&self, i: usize) -> String {
        format!("{}:", self.daemons[i].ip)
    }

    /// Address of a daemon for links.
    pub(crate) fn links_address(&self, i: usize) -> SocketAddr {
        format!("{}:{}", self.daemons[i].ip, self.base_port).parse().expect("an address")
    }

    /// Sets the number of log entries after which control daemons take snapshots, before their start.
    pub(crate) fn set_snapshot_entries(&mut self, entries: u64) {
        self.snapshot_entries = Some(entries);
    }

    /// Leaves no request in the budget for those that are sent again, before the start.
    pub(crate) fn disallow_retries(&mut self) {
        self.has_retries = false;
    }

    #[allow(dead_code, reason = "only the soak uses it")]
    /// Sets further bounds in the settings, each after a comma, before the start.
    pub(crate) fn set_more_bounds(&mut self, bounds: &'static str) {
        self.more_bounds = bounds;
    }

    /// States within which time the region has to serve again, and lets the pace of upstreams be
    /// learnt, before the start.
    pub(crate) fn set_hard_load(&mut self) {
        self.more_bounds = ", recover_ms: 15000, learn_pace: true";
    }

    /// Sets the program that daemon `i` runs from its next start on: that of an earlier build, or this
    /// one's.
    pub(crate) fn set_build(&mut self, i: usize, earlier: Option<&Path>) {
        self.daemons[i].earlier_build = earlier.map(Path::to_path_buf);
    }

    #[allow(dead_code, reason = "the soak doesn't use it")]
    /// Sets further environment variables of daemon `i`, before its start.
    pub(crate) fn set_variables(&mut self, i: usize, variables: Vec<(&'static str, PathBuf)>) {
        self.daemons[i].variables = variables;
    }

    /// Sets the routes of daemon `i` to upstreams, before its start.
    pub(crate) fn set_routes(&mut self, i: usize, routes: Routes) {
        self.daemons[i].routes = routes;
    }

    /// Sets the seeds in the settings of daemon `i` from its next start on.
    pub(crate) fn set_seeds(&mut self, i: usize, seeds: Vec<SocketAddr>) {
        self.daemons[i].seeds = Some(seeds);
    }

    #[allow(dead_code, reason = "the soak doesn't use it")]
    /// Machines that take connections for links and never answer, as frozen ones do, with the seeds of a daemon without
    /// a voter that asks all of them before daemon `last`: it starts at a place in the sorted addresses that
    /// follows from its port.
    pub(crate) fn silent_machines(
        &self,
        count: usize,
        last: usize,
    ) -> (Vec<TcpListener>, Vec<SocketAddr>) {
        let before = usize::from(self.base_port) % (count + 1);
        // Proxies listen on ports of 127.0.0.2 that the system picks.
        let ip = |n: usize| match n < before {
            true => [127, 0, 1 + (n / 250) as u8, 2 + (n % 250) as u8],
            false => [127, 255, (n / 250) as u8, 2 + (n % 250) as u8],
        };
        let listen = |n| TcpListener::bind(SocketAddr::from((ip(n), self.base_port)));
        let silent = (0..count).map(|n| listen(n).expect("a free port")).collect();
        let seed = |n| SocketAddr::from((ip(n), self.base_port + 1));
        let last = self.control_address(last).parse().expect("an address");
        (silent, (0..count).map(seed).chain([last]).collect())
    }

    #[allow(dead_code, reason = "the soak doesn't use it")]
    /// Control addresses of `count` machines of the region's network that don't run.
    pub(crate) fn gone_machines(&self, count: u8) -> Vec<SocketAddr> {
        let IpAddr::V4(first) = self.links_address(0).ip() else { unreachable!("IPv4") };
        let [a, b, c, _] = first.octets();
        let address = |n| SocketAddr::from(([a, b, c, u8::MAX - n], self.base_port + 1));
        (1..=count).map(address).collect()
    }

    /// Whether an entry says that it is ready for connections.
    pub(crate) fn is_ready(&self, i: usize) -> bool {
        let address = format!("{}:{}", self.daemons[i].ip, self.base_port + 3);
        let head = format!("GET {READY_PATH} HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        exchange(&address, &head).is_some_and(|(status, _)| status == 200)
    }

    /// Most memory that the process of daemon `i` has used so far, in MiB.
    #[allow(dead_code, reason = "the soak doesn't use it")]
    pub(crate) fn peak_memory_mb(&self, i: usize) -> u64 {
        let pid = self.children[i].as_ref().expect("it runs").id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")).expect("a size");
        kb.parse::<u64>().expect("a number") / 1_024
    }

    /// Whether daemon `i` still runs.
    pub(crate) fn is_running(&mut self, i: usize) -> bool {
        let has_ended = |child: &mut Child| child.try_wait().expect("known").is_some();
        self.children[i].as_mut().is_some_and(|child| !has_ended(child))
    }

    /// Index of the first entry.
    pub(crate) fn entry(&self) -> usize {
        self.control_count
    }

    /// Address of a control daemon for operators and upstreams.
    pub(crate) fn control_address(&self, i: usize) -> String {
        format!("{}:{}", self.daemons[i].ip, self.base_port + 1)
    }

    /// Starts daemons that are not running, for example because they have exited by themselves.
    pub(crate) fn restart_ended(&mut self) {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        self.restart_ended_of(&all);
    }

    /// Starts those of these daemons that are not running.
    pub(crate) fn restart_ended_of(&mut self, daemons: &[usize]) {
        for i in daemons.iter().copied() {
            let has_ended = |child: &mut Child| child.try_wait().expect("known").is_some();
            if self.children[i].as_mut().is_none_or(has_ended) {
                self.start(i, false);
            }
        }
    }

    /// Address of an entry for callers.
    pub(crate) fn callers_address(&self, i: usize) -> String {
        format!("{}:{}", self.daemons[i].ip, self.base_port + 2)
    }

    /// Address at which an entry takes messages to relay.
    pub(crate) fn relay_address(&self, i: usize) -> String {
        format!("{}:{}", self.daemons[i].ip, self.base_port + 5)
    }

    /// Writes the settings file of daemon `i`, and returns its path.
    pub(crate) fn write_settings(&self, i: usize, founds_group: bool) -> PathBuf {
        let file = self.dir.path().join(format!("{}.yaml", self.daemons[i].name));
        fs::write(&file, self.settings(i, founds_group)).expect("written");
        file
    }

    /// Starts daemon `i`. `founds_group` is true only at a region's first start.
    pub(crate) fn start(&mut self, i: usize, founds_group: bool) {
        let file = self.write_settings(i, founds_group);
        let routes = &self.daemons[i].routes;
        let this_build = PathBuf::from(env!("CARGO_BIN_EXE_toucansilld"));
        let mut command =
            Command::new(self.daemons[i].earlier_build.as_ref().unwrap_or(&this_build));
        command.arg(&file);
        if !routes.is_empty() {
            // This program itself is the only one that connects by other routes.
            let routes = serde_json::to_string(routes).expect("JSON");
            command = Command::new(env::current_exe().expect("this program"));
            command
                .args(["--exact", "routed_daemon"])
                .env(ROUTED_DAEMON, format!("{}\n{routes}", file.display()));
        }
        command.envs(self.daemons[i].variables.iter().cloned());
        let log = fs::File::options().create(true).append(true).open(self.log_file(i));
        command.stdout(log.expect("a log file")).stderr(Stdio::null());
        let child = command.spawn().expect("started");
        self.children[i] = Some(child);
    }

    /// Starts all daemons.
    pub(crate) fn start_all(&mut self, founds_group: bool) {
        (0..self.daemons.len()).for_each(|i| self.start(i, founds_group));
    }

    /// Kills a daemon (SIGKILL) and waits for its end.
    pub(crate) fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Kills all daemons.
    pub(crate) fn kill_all(&mut self) {
        (0..self.daemons.len()).for_each(|i| self.kill(i));
    }

    /// Sends SIGTERM to a daemon, if it runs.
    pub(crate) fn terminate(&self, i: usize) {
        self.signal(i, "-TERM");
    }

    /// Sends a signal, as an option of `kill`, to a daemon if it runs.
    pub(crate) fn signal(&self, i: usize, signal: &str) {
        let Some(child) = &self.children[i] else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("sent");
        assert!(sent.success(), "{signal} to a child of this process");
    }

    /// Sends SIGTERM to a daemon and waits for its end.
    pub(crate) fn stop(&mut self, i: usize) {
        self.terminate(i);
        if let Some(mut child) = self.children[i].take() {
            child.wait().expect("ended");
        }
    }

    /// Id of a control daemon in its group.
    pub(crate) fn member_id(&self, i: usize) -> String {
        fs::read_to_string(self.data_folder(i).join("member-id")).expect("a member")
    }

    /// As [`member_id`](Self::member_id); `None` while there is none.
    #[allow(dead_code, reason = "the soak doesn't use it")]
    pub(crate) fn stored_id(&self, i: usize) -> Option<String> {
        fs::read_to_string(self.data_folder(i).join("member-id")).ok()
    }

    #[allow(dead_code, reason = "the soak doesn't use it")]
    /// Number of members' addresses that a control daemon has stored.
    pub(crate) fn stored_addresses(&self, i: usize) -> usize {
        let text = fs::read_to_string(self.data_folder(i).join("voters.json")).expect("addresses");
        let stored: BTreeMap<String, String> = serde_json::from_str(&text).expect("JSON");
        stored.len()
    }

    /// Removes the data folder of a control daemon, to simulate the loss of its disk.
    pub(crate) fn lose_disk(&self, i: usize) {
        fs::remove_dir_all(self.data_folder(i)).expect("removed");
    }

    /// Removes one file from the data folder of a control daemon that isn't running.
    #[allow(dead_code, reason = "the soak doesn't use it")]
    pub(crate) fn remove_stored(&self, i: usize, file: &str) {
        fs::remove_file(self.data_folder(i).join(file)).expect("removed");
    }

    /// Renames a file in the data folder of a control daemon that isn't running.
    #[allow(dead_code, reason = "the soak doesn't use it")]
    pub(crate) fn rename_stored(&self, i: usize, from: &str, to: &str) {
        let folder = self.data_folder(i);
        fs::rename(folder.join(from), folder.join(to)).expect("renamed");
    }

    /// Replaces a file in the data folder of a control daemon that isn't running.
    #[allow(dead_code, reason = "the soak doesn't use it")]
    pub(crate) fn store(&self, i: usize, file: &str, content: &str) {
        fs::write(self.data_folder(i).join(file), content).expect("written");
    }

    /// Sends a control request to a daemon. Returns status and body; `None` without a response.
    pub(crate) fn control_request(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let address = self.control_address(i);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        exchange(&address, &format!("{head}{body}"))
    }

    /// Repeats a control request to a daemon until the status is 200. Returns the body.
    pub(crate) fn control_request_until_ok(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> String {
        eventually(path, || {
            let response = self.control_request(i, method, path, body);
            response.filter(|(status, _)| *status == 200).map(|(_, body)| body)
        })
    }

    /// Whether the leader's metrics show exactly one request waiting for an upstream.
    pub(crate) fn has_waiting_request(&self) -> bool {
        self.metrics().any(|page| page.lines().any(|l| l == "toucansill_streams_waiting 1"))
    }

    /// Waits until the group has exactly this many members and the leader hears all of them.
    pub(crate) fn await_members(&self, count: usize) {
        self.await_group(count, count);
    }

    /// Waits until the group has `members` members, `heard` of which the leader hears.
    pub(crate) fn await_group(&self, members: usize, heard: usize) {
        eventually("members", || self.is_group(members, heard).then_some(()));
    }

    /// Whether the group has `members` members, `heard` of which the leader hears, by the leader's
    /// metrics.
    pub(crate) fn is_group(&self, members: usize, heard: usize) -> bool {
        let all: Vec<usize> = (0..self.daemons.len()).collect();
        self.is_group_by(&all, members, heard)
    }

    /// [`is_group`](Self::is_group), by the metrics of these daemons only: others may be frozen.
    pub(crate) fn is_group_by(&self, daemons: &[usize], members: usize, heard: usize) -> bool {
        let expected = [
            format!("toucansill_group_members {members}"),
            format!("toucansill_group_members_heard {heard}"),
        ];
        let is_expected =
            |page: &String| expected.iter().all(|line| page.lines().any(|l| l == line));
        daemons.iter().filter_map(|i| self.metrics_of(*i)).any(|page| is_expected(&page))
    }

    /// Index of the daemon that leads a group of `members` members, by its metrics, once it hears
    /// them all.
    pub(crate) fn await_leader(&self, members: usize) -> usize {
        let line = format!("toucansill_group_members_heard {members}");
        eventually("a leader", || {
            (0..self.control_count)
                .find(|i| self.metrics_of(*i).is_some_and(|page| page.lines().any(|l| l == line)))
        })
    }

    /// Whether daemon `i` leads, by its metrics.
    pub(crate) fn leads(&self, i: usize) -> bool {
        let is_led = |line: &str| {
            line.strip_prefix("toucansill_group_members ").is_some_and(|members| members != "0")
        };
        self.metrics_of(i).is_some_and(|page| page.lines().any(is_led))
    }

    /// Age of the view of daemon `i`, by its metrics.
    pub(crate) fn view_age(&self, i: usize) -> Duration {
        let page = eventually("metrics", || self.metrics_of(i));
        let age = page.lines().find_map(|line| line.strip_prefix("toucansill_view_age_seconds "));
        let seconds = age.and_then(|age| age.parse().ok()).expect("the age of the view");
        Duration::from_secs_f64(seconds)
    }

    /// Metrics pages of the daemons that respond.
    fn metrics(&self) -> impl Iterator<Item = String> {
        (0..self.daemons.len()).filter_map(|i| self.metrics_of(i))
    }

    /// Metrics page of a daemon, if it responds.
    fn metrics_of(&self, i: usize) -> Option<String> {
        const HEAD: &str = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
        let address = format!("{}:{}", self.daemons[i].ip, self.base_port + 4);
        exchange(&address, HEAD).map(|(_, page)| page)
    }

    /// Sends a caller's request with a prompt of 1,000 tokens to the first entry. Returns status
    /// and body; `None` without a complete response.
    pub(crate) fn request(&self, path: &str) -> Option<(u16, String)> {
        self.request_with_prompt(path, 1_000)
    }

    /// Like [`request`](Self::request), with a prompt of `prompt` tokens.
    pub(crate) fn request_with_prompt(&self, path: &str, prompt: u64) -> Option<(u16, String)> {
        self.send(self.entry(), path, "hi", |id| request_header_lines_for(id, 30_000, prompt))
    }

    /// Sends a caller's request with this body and deadline to entry `i`. Returns status and body;
    /// `None` without a complete response.
    pub(crate) fn request_at(
        &self,
        i: usize,
        path: &str,
        body: &str,
        deadline: Duration,
    ) -> Option<(u16, String)> {
        let deadline_ms = deadline.as_millis() as u64;
        self.send(i, path, body, |id| request_header_lines(id, deadline_ms))
    }

    /// Like [`request_at`](Self::request_at), for a prompt of these parts.
    pub(crate) fn request_with_parts(
        &self,
        i: usize,
        path: &str,
        body: &str,
        deadline: Duration,
        parts: &[&str],
    ) -> Option<(u16, String)> {
        let deadline_ms = deadline.as_millis() as u64;
        let header_lines = |id: &str| {
            format!("{}{}", request_header_lines(id, deadline_ms), parts_header_line(parts))
        };
        self.send(i, path, body, header_lines)
    }

    /// Sends a caller's request to the first entry, on a connection that the caller closes when it is
    /// dropped.
    pub(crate) fn open_request(&self, path: &str) -> TcpStream {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let header_lines = request_header_lines(&format!("r{attempt}"), 30_000);
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\n{header_lines}Content-Length: 0\r\n\r\n"
        );
        let mut stream =
            TcpStream::connect(self.callers_address(self.entry())).expect("a connection");
        stream.write_all(request.as_bytes()).expect("written");
        stream
    }

    /// Sends a caller's request to entry `i`. Returns the status of the response and its `Retry-After` in
    /// seconds.
    pub(crate) fn refusal_at(
        &self,
        i: usize,
        path: &str,
        deadline: Duration,
    ) -> (u16, Option<f64>) {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let header_lines =
            request_header_lines(&format!("r{attempt}"), deadline.as_millis() as u64);
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{header_lines}\
             Content-Length: 0\r\n\r\n"
        );
        let text = exchange_text(&self.callers_address(i), &request).expect("a response");
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
        let retry_after = text.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("retry-after").then(|| value.trim().parse().ok())?
        });
        (status.expect("a status"), retry_after)
    }

    /// Sends a caller's request to entry `i`. `header_lines` makes its headers from its id.
    fn send(
        &self,
        i: usize,
        path: &str,
        body: &str,
        header_lines: impl Fn(&str) -> String,
    ) -> Option<(u16, String)> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        exchange(
            &self.callers_address(i),
            &format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n{body}",
                header_lines(&format!("r{attempt}")),
                body.len()
            ),
        )
    }

    /// Data folder of a control daemon.
    pub(crate) fn data_folder(&self, i: usize) -> PathBuf {
        self.dir.path().join(&self.daemons[i].name)
    }

    /// What a daemon has logged so far, over all its processes.
    pub(crate) fn log(&self, i: usize) -> String {
        fs::read_to_string(self.log_file(i)).unwrap_or_default()
    }

    fn log_file(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("{}.log", self.daemons[i].name))
    }

    /// Settings file of a daemon.
    fn settings(&self, i: usize, founds_group: bool) -> String {
        let DaemonConfig { ip, name, is_control, data_centre, .. } = &self.daemons[i];
        let port = self.base_port;
        let seeds: Vec<String> = match &self.daemons[i].seeds {
            Some(seeds) => seeds.iter().map(|seed| format!("'{seed}'")).collect(),
            None => {
                (0..self.seed_count).map(|i| format!("'{}'", self.control_address(i))).collect()
            }
        };
        let role_settings = if *is_control {
            let snapshots = self.snapshot_entries.map(|n| format!(", snapshot_entries: {n}"));
            format!(
                "control: {{listen: '{ip}:{}', data_folder: '{}', founds_group: {founds_group}, \
                 tolerated_losses: {}{}}}",
                port + 1,
                self.data_folder(i).display(),
                self.tolerated_losses,
                snapshots.unwrap_or_default()
            )
        } else {
            // Earlier builds don't know all settings.
            let relay = match self.daemons[i].earlier_build {
                Some(_) => String::new(),
                None => format!(", relay: '{ip}:{}'", port + 5),
            };
            format!(
                "entry: {{callers: '{ip}:{}', readiness: '{ip}:{}'{relay}, max_connections: 64}}",
                port + 2,
                port + 3
            )
        };
        let retries = if self.has_retries { "" } else { ", retry_ratio: 0, retry_slack: 0" };
        format!(
            "daemon: {name}\ndata_centre: {data_centre}\nlinks: '{ip}:{port}'\nmetrics: '{ip}:{}'\n\
             seeds: [{}]\n{role_settings}\nbounds: {{stop_ms: {}, apply_ms: {}{retries}{}}}\n",
            port + 4,
            seeds.join(", "),
            self.stop_ms,
            self.apply_ms,
            self.more_bounds
        )
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Waits until `condition` returns a value, and returns it. Panics after [`TIMEOUT`]; `what` is
/// named in the message.
pub(crate) fn eventually<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    let mut condition = condition;
    let start = Instant::now();
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends one request on a connection of its own. Returns status and body; `None` if there is no
/// connection or no response with a head.
pub(crate) fn exchange(address: &str, request: &str) -> Option<(u16, String)> {
    status_and_body(&exchange_text(address, request)?)
}

/// Status and body of a response; `None` if its head is incomplete.
pub(crate) fn status_and_body(text: &str) -> Option<(u16, String)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
}

#[allow(dead_code, reason = "only the soak uses it")]
/// [`exchange`] with a daemon that may be frozen: gives up if nothing comes for `limit`.
pub(crate) fn exchange_within(
    address: &str,
    request: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let address = address.parse().expect("an address");
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    status_and_body(&text)
}

/// Sends one request on a connection of its own. Returns all that comes until the connection ends;
/// `None` if there is no connection.
pub(crate) fn exchange_text(address: &str, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Picks a loopback subnet, as its second and third byte, and the first of six ports, that no
/// other region uses: the subnet is derived from the process id, and the operating system names a
/// free port.
fn free_subnet() -> ((u8, u8), u16) {
    static NEXT_SUBNET: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
    let id = u64::from(std::process::id()) * 8 + number;
    let subnet = (1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8);
    let ip = format!("127.{}.{}.1", subnet.0, subnet.1);
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("a port");
    let port = listener.local_addr().expect("an address").port();
    (subnet, port.min(u16::MAX - 8))
}
