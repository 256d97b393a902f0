//! Node processes: one is measured, under callgrind or by what the system tells of it.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Where a node is reached, and where its files are.
#[derive(Debug, Clone)]
pub struct NodeAddress {
    pub name: String,
    pub front: SocketAddr,
    pub back: SocketAddr,
}

/// A running node. It ends when this is dropped.
pub struct NodeProcess {
    child: Child,
    /// Where callgrind writes its profiles, if the node runs under it.
    profiles: Option<PathBuf>,
}

impl NodeProcess {
    /// Starts the program: natively, or under callgrind if it is to write profiles.
    pub fn start(
        settings: &Path,
        log: &Path,
        profiles: Option<PathBuf>,
    ) -> std::io::Result<NodeProcess> {
        let program = env!("CARGO_BIN_EXE_umbervale");
        let mut command = match &profiles {
            Some(profiles) => callgrind(profiles, program),
            None => Command::new(program),
        };
        let child = command
            .arg("serve")
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(log)?)
            .spawn()?;
        Ok(NodeProcess { child, profiles })
    }

    /// Writes what was collected since the last call, and begins anew; the file that has it.
    pub fn dump(&self, phase: &str) -> Option<PathBuf> {
        let profiles = self.profiles.as_ref()?;
        let control = Command::new("callgrind_control")
            .arg(format!("--dump={phase}"))
            .arg(self.child.id().to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status();
        control.ok().filter(|status| status.success())?;
        let numbers = 1..;
        let files = numbers.map(|n| PathBuf::from(format!("{}.{n}", profiles.display())));
        files.take_while(|file| file.exists()).last()
    }

    /// Memory that the process holds now and has held at most, MB.
    pub fn memory_mb(&self) -> Option<(f64, f64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kib / 1024.0)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The program under callgrind.
fn callgrind(profiles: &Path, program: &str) -> Command {
    let mut command = Command::new("valgrind");
    command
        .arg("--tool=callgrind")
        .arg(format!("--callgrind-out-file={}", profiles.display()))
        .arg("--compress-strings=no")
        .arg("--compress-pos=no")
        .arg("--collect-systime=no")
        .arg(program);
    command
}

/// The settings file of a node.
pub fn settings(
    node: &NodeAddress,
    nodes: &[NodeAddress],
    state: SocketAddr,
    cloud: SocketAddr,
    report_s: u64,
) -> String {
    let peers: String = nodes
        .iter()
        .filter(|peer| peer.name != node.name)
        .map(|peer| {
            format!(
                "[[peers]]\nnode_name = \"{}\"\nsite = \"west\"\naddr = \"{}\"\n",
                peer.name, peer.back
            )
        })
        .collect();
    let (name, front, back) = (&node.name, node.front, node.back);
    format!(
        r#"
node_name = "{name}"
site = "east"
front = "{front}"
back = "{back}"
{peers}
[services]
cloud = "{cloud}"
state = "{state}"
[cluster]
nodes = {count}
zones = ["east", "west"]
[[cluster.teams]]
name = "load"
gpus_max = 1000000.0
[cluster.workers]
report_s = {report_s}.0
lease_s = {lease_s}.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {cancel_s}.0
[cluster.state]
rps = 100000.0
write_rps = 100000.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
[cluster.machine_limits]
max_connections = 10000
"#,
        count = nodes.len(),
        lease_s = 20 * report_s,
        cancel_s = 40 * report_s,
    )
}
