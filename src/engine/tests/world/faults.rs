//! What goes wrong in the simulation, switched by the tests.

use super::*;

/// What may be wrong with the cloud's lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListFault {
    #[default]
    None,
    /// Each page is the first one, and says that there are more.
    Repeats,
    /// There is always another page, with a machine that nobody rented.
    Endless,
    /// Each page names its machines twice.
    Doubled,
}

/// What goes wrong, switched by the tests.
#[derive(Default)]
pub struct Faults {
    /// The state service answers 503 to all, or to these nodes only.
    pub store_down: bool,
    pub store_refuses: BTreeSet<usize>,
    /// Every nth commit is executed but not answered.
    pub lose_every: u64,
    /// Pairs of zones that can't reach each other.
    pub zones_cut: bool,
    /// Machines that answer nothing and do nothing.
    pub hung: BTreeSet<String>,
    /// Machines on which every task fails.
    pub sick: BTreeSet<String>,
    /// Machines that can't be reached but go on.
    pub cut: BTreeSet<String>,
    /// Machines that report how soon the cloud takes them back, s.
    pub notices: BTreeMap<String, f64>,
    /// Jobs whose tasks exit for this reason instead of running.
    pub exits: BTreeMap<String, ExitReason>,
    /// Running tasks that are stopped first save their progress, for as long as their job says.
    pub saves: bool,
    /// Tasks of gangs wait this long for each other before they run, ms.
    pub gathers: Ms,
    /// Jobs whose tasks fail everywhere.
    pub faulty: BTreeSet<String>,
    pub cloud_down: bool,
    /// Machines whose reports arrive, while no answer and no order reaches them.
    pub deaf: BTreeSet<String>,
    /// Nodes that reach no peer, nor peers them.
    pub no_peers: BTreeSet<usize>,
    /// The state service carries calls out this much later, ms, whether or not the caller still
    /// lives.
    pub store_delay: Ms,
    /// Most machines that the cloud has for each zone; none: as many as asked.
    pub capacity: Option<usize>,
    /// Nodes that can't reach the workers, nor they them.
    pub no_workers: BTreeSet<usize>,
    /// Every nth commit gets no answer and is carried out 2 to 12 s later, after newer ones.
    pub late_every: u64,
    /// The same of the next commit that writes a key that begins so, 12 s later.
    pub late_write: Option<&'static str>,
    /// Machines whose reports reach no node, while direct orders reach them.
    pub mute: BTreeSet<String>,
    /// Direct orders reach no machine.
    pub lose_direct: bool,
    /// Of every nth report a copy arrives again, 2 to 38 s later, at all nodes.
    pub copy_every: u64,
    /// Calls and watches' answers of these nodes take this much longer, ms.
    pub slow_calls: BTreeMap<usize, Ms>,
    pub slow_watch: BTreeMap<usize, Ms>,
    /// The state service lists no work and no rounds.
    pub no_records: bool,
    /// What is wrong with the cloud's lists.
    pub list: ListFault,
    /// The cloud's lists are answered this much later than they are made, ms.
    pub slow_list: Ms,
    /// What these nodes call is answered this much later than it is carried out, ms.
    pub slow_answers: BTreeMap<usize, Ms>,
    /// Each message, report, order, call or answer, takes up to this much longer, ms, for itself: a
    /// later one may overtake it. No more than 700: a call and its answer then stay within the
    /// patience of those who wait for them.
    pub slow_links: Ms,
}
