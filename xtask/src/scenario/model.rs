//! Steps of a scenario.

use std::path::PathBuf;
use std::time::Duration;

use crate::caller::KeyMode;
use crate::harness::StoreLimits;
use crate::harness::target::TargetSpec;
use crate::scenario::moves::MoveStep;
use crate::store::fault::FaultChange as StoreFault;
use crate::target::fault::FaultChange as TargetFault;

/// `Scenario` is the content of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// File name; catalogue files are found relative to its directory.
    pub file: PathBuf,
    /// Seed of the callers' keys.
    pub seed: u64,
    /// Whether ordinary test runs leave the scenario out.
    pub long: bool,
    /// Steps in order.
    pub steps: Vec<NumberedStep>,
}

/// `NumberedStep` is a step and where it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedStep {
    /// Line, from 1.
    pub line: usize,
    /// Text of the line.
    pub text: String,
    /// The step.
    pub step: Step,
}

/// `Line` is the meaning of one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// Seed of the scenario.
    Seed(u64),
    /// Marks the scenario as long.
    Long,
    /// A step.
    Step(Step),
}

/// `Step` is one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a setting to the nodes that start later.
    Setting {
        /// Section.
        section: String,
        /// Key and value, as in the settings file.
        line: String,
    },
    /// Lets time pass.
    Pause(Duration),
    /// Starts the store.
    StartStore(StoreLimits),
    /// Starts a node.
    StartNode {
        /// Name.
        name: String,
        /// Region.
        region: String,
        /// Data centre.
        data_centre: String,
    },
    /// Starts a target.
    StartTarget(TargetSpec),
    /// Applies a catalogue file.
    Apply {
        /// File and node.
        edit: Edit,
        /// What the command must report.
        outcome: EditOutcome,
    },
    /// Applies two catalogue files at once; exactly one must be accepted.
    Race(Edit, Edit),
    /// Sends requests.
    Send(SendStep),
    /// Waits until targets have begun this number of runs.
    WaitRuns {
        /// Number of runs since the start of the scenario.
        count: usize,
        /// Bound of the wait.
        within: Duration,
    },
    /// Waits for the sends in the background.
    WaitSends {
        /// Bound of the wait.
        within: Duration,
    },
    /// Waits until requests get whole answers.
    WaitAnswers {
        /// Whether the requests carry keys.
        keyed: bool,
        /// Service.
        service: String,
        /// Path.
        path: String,
        /// Nodes.
        through: Vec<String>,
        /// Bound of the wait.
        within: Duration,
    },
    /// Kills, stops or restarts processes.
    Lifecycle(Lifecycle),
    /// Freezes a process.
    Freeze {
        /// Name of the process.
        name: String,
        /// Length of the freeze.
        time: Duration,
    },
    /// Switches faults of the store.
    Store(StoreFault),
    /// Switches the fault of a target.
    Target {
        /// Name of the target.
        name: String,
        /// The fault.
        fault: TargetFault,
    },
    /// Acts on a move or checks one.
    Move(MoveStep),
    /// Tells a node that its target leaves, while the target goes on taking requests.
    Leave(String),
    /// Sends bytes that are no valid message.
    Bytes(BytesStep),
    /// Checks an expectation.
    Expect(Expectation),
}

/// `Edit` is a catalogue file and the node through which it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// File, relative to the scenario's directory.
    pub file: String,
    /// Node; the first one when absent.
    pub through: Option<String>,
}

/// `EditOutcome` is how a catalogue command must end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted.
    Accepted,
    /// Refused, with this text in the message.
    Refused(Option<String>),
    /// The outcome is unknown.
    Unknown,
}

/// `Port` is an address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// For callers.
    Caller,
    /// For other nodes, TCP.
    PeerTcp,
    /// For other nodes, UDP.
    PeerUdp,
    /// For operators.
    Operator,
    /// For the target.
    Local,
}

/// `BytesStep` are bytes to send to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BytesStep {
    /// Node.
    pub node: String,
    /// Address.
    pub port: Port,
    /// The bytes.
    pub content: BytesContent,
}

/// `BytesContent` is what is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BytesContent {
    /// This number of messages of random bytes, from the seed of the scenario.
    Random(usize),
    /// A text.
    Text(String),
}

/// `Lifecycle` is a change in the life of processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Immediate end of a process.
    Kill(String),
    /// Immediate end of a node and its targets.
    KillVm(String),
    /// Planned stop of a process, waits for its end.
    Stop(String),
    /// New start with the same settings.
    Restart(String),
    /// Immediate end and new start of all nodes at once.
    RestartAllNodes,
}

/// `SendStep` are requests to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendStep {
    /// Number of requests.
    pub count: usize,
    /// Service.
    pub service: String,
    /// Path.
    pub path: String,
    /// Nodes, used in turn.
    pub through: Vec<String>,
    /// How the requests are identified.
    pub key: KeyMode,
    /// Options.
    pub options: SendOptions,
}

/// `SendOptions` are the options of a send step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendOptions {
    /// Text at the start of every body.
    pub body: Option<String>,
    /// Requests begun per second.
    pub rate_per_s: Option<u64>,
    /// Requests in flight at once.
    pub concurrency: Option<usize>,
    /// Time for one send.
    pub timeout: Option<Duration>,
    /// Repeated sends with the same key.
    pub resends: Option<usize>,
    /// Pause before a repeated send.
    pub resend_pause: Option<Duration>,
    /// Whether the scenario goes on while requests are sent.
    pub background: bool,
}

/// `Scope` tells which nodes an expectation covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All running nodes.
    All,
    /// One node.
    Node(String),
}

/// `Counted` is a number with an upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// Requests with unknown outcome.
    Unknown,
    /// Requests that were not run.
    NotRun,
    /// Writes that the store admitted.
    StoreWrites,
    /// Target processes that have ended.
    EndedTargets,
}

/// `MetricBound` is the bound of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricBound {
    /// Reaches the number within the time.
    AtLeast(u64, Duration),
    /// Does not exceed the number now.
    AtMost(u64),
}

/// `Expectation` is what must hold at a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// A revision, or a newer one, is in force.
    Revision {
        /// Lowest revision.
        revision: u64,
        /// Nodes.
        scope: Scope,
        /// Bound of the wait.
        within: Duration,
    },
    /// No request that must run at most once ran twice.
    NoDoubleRuns,
    /// No answer was incomplete or another request's.
    NoWrongAnswers,
    /// No request ran that was reported as not run.
    NoFalseNotRun,
    /// Lowest number of sends that were answered with this code.
    AtLeastCode(usize, String),
    /// Bound of a metric, summed over its labels.
    Metric {
        /// Name of the metric.
        name: String,
        /// Nodes.
        scope: Scope,
        /// Bound.
        bound: MetricBound,
    },
    /// A text is in the log.
    Log {
        /// The text.
        text: String,
        /// Node.
        node: String,
        /// Bound of the wait.
        within: Duration,
    },
    /// A text is not in the log.
    NoLog {
        /// The text.
        text: String,
        /// Node.
        node: String,
    },
    /// Nodes run.
    Running(Scope),
    /// A target that was told to leave began no run later than this after it.
    NoRunsAfterLeave {
        /// Target.
        target: String,
        /// Time after the step that let it leave.
        after: Duration,
    },
    /// A node never serves an older revision during a time.
    NeverBelow {
        /// Lowest revision.
        revision: u64,
        /// Node.
        node: String,
        /// Time of the observation.
        time: Duration,
    },
    /// Lowest number of requests with a whole answer.
    AtLeastAnswered(usize),
    /// Upper bound of a number.
    AtMost(usize, Counted),
}
