//! The project's daemons as processes, with the program of the deploy file and its settings.

use crate::{
    http::{get, wait_until},
    store::Store,
};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// Number of the next deployment.
static NUMBERS: AtomicUsize = AtomicUsize::new(1);

const PROGRAM: &str = "target/release/savorywood-front";
pub const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, ...) -> i32;
}

/// One machine with its daemon.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Front {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let response = get(self.admin, "/v1/readiness", Duration::from_millis(500));
        response.is_some_and(|response| response.status == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts the process again after it has ended, as the platform does.
    pub fn start_again(&mut self) -> Result<(), String> {
        self.child.wait().map_err(|error| error.to_string())?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns what the daemon has written.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(PROGRAM);
    command
        .env_clear()
        .env("SAVORYWOOD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    // SAFETY: prctl is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
            Ok(())
        });
    }
    command
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}; build it first"))
}

fn free_port(host: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// Returns a port that is free for TCP and UDP at all hosts.
fn common_port(hosts: &[String]) -> Result<u16, String> {
    for _ in 0..50 {
        let port = free_port(&hosts[0])?.port();
        let is_free = |host: &String| {
            TcpListener::bind((host.as_str(), port)).is_ok()
                && UdpSocket::bind((host.as_str(), port)).is_ok()
        };
        if hosts.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err("no port is free at all hosts".to_owned())
}

/// A small deployment: daemons in one zone, and a temporary folder.
pub struct Deployment {
    pub fronts: Vec<Front>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Deployment {
    /// Starts `count` daemons and waits until all are ready.
    pub fn start(store: &Store, count: usize) -> Result<Self, String> {
        let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
        let name = format!("savorywood-review-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self {
            fronts: Vec::new(),
            folder,
        };
        let hosts: Vec<String> = (0..count).map(|index| format!("127.0.0.{}", index + 2)).collect();
        let port = common_port(&hosts)?;
        for (index, host) in hosts.iter().enumerate() {
            let name = format!("front-{}", index + 1);
            let (callers, admin) = (free_port(host)?, free_port(host)?);
            let seeds: Vec<String> = hosts.iter().map(|seed| format!("\"{seed}:{port}\"")).collect();
            let text = settings_text(&name, host, port, callers, admin, &seeds.join(","), store);
            let settings = deployment.folder.join(format!("{name}.json"));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let log = deployment.folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log)?;
            deployment.fronts.push(Front {
                name,
                callers,
                admin,
                settings,
                log,
                child,
            });
        }
        let all_ready = || deployment.fronts.iter().all(Front::is_ready);
        if !wait_until(Duration::from_secs(15), all_ready) {
            return Err("the daemons did not become ready".to_owned());
        }
        // Later starts are restarts.
        for front in &deployment.fronts {
            let text = fs::read_to_string(&front.settings).map_err(|error| error.to_string())?;
            let text = text.replace("\"first_start\":true", "\"first_start\":false");
            fs::write(&front.settings, text).map_err(|error| error.to_string())?;
        }
        Ok(deployment)
    }
}

/// Fills in what `deploy/settings.template.json` gives a machine of the site.
fn settings_text(
    name: &str,
    host: &str,
    port: u16,
    callers: SocketAddr,
    admin: SocketAddr,
    seeds: &str,
    store: &Store,
) -> String {
    format!(
        r#"{{
"host":"{name}","zone":"be-central-a","zone_regions":{{"be-central-a":"be-central"}},"first_start":true,
"listen":{{"callers":"{callers}","readiness":"{admin}","directory":"{admin}","peers":"{host}:{port}","metrics":"{admin}"}},
"seeds":[{seeds}],
"store":{{"address":"{}"}},
"bounds":{{"revocation_ms":5000,"retry_ratio":0.2,"retry_slack":54,"retry_window_s":10,"limit_window_s":8,
"limit_overage":0.1,"limit_slack":190000,"exposure_share":0.1,"address_ttl_s":5,"grace_s":8}},
"limits":{{"memory_mb":260,"processor_share":0.25,"cores":1,"link_mbps":1000.0,"descriptors":4100}}
}}
"#,
        store.address
    )
}
