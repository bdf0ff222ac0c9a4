//! Data model of a scenario: its steps and their options.

use std::path::PathBuf;
use std::time::Duration;

use crate::caller::KeyMode;
use crate::harness::StoreLimits;
use crate::harness::target::TargetSpec;
use crate::scenario::moves::MoveStep;
use crate::store::fault::FaultChange as StoreFault;
use crate::target::fault::FaultChange as TargetFault;

/// Content of a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Path of the file; paths of catalogue files are relative to its directory.
    pub file: PathBuf,
    /// Seed of the callers' keys.
    pub seed: u64,
    /// Whether ordinary test runs skip the scenario.
    pub long: bool,
    /// Steps in order.
    pub steps: Vec<NumberedStep>,
}

/// Step with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedStep {
    /// Line number, starting at 1.
    pub line: usize,
    /// Text of the line without its comment.
    pub text: String,
    /// The step.
    pub step: Step,
}

/// Parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// Sets the seed of the scenario.
    Seed(u64),
    /// Marks the scenario as long.
    Long,
    /// A step.
    Step(Step),
}

/// Step of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Adds a setting for nodes started later.
    Setting {
        /// Section of the settings file.
        section: String,
        /// Key and value, as written in the settings file.
        line: String,
    },
    /// Waits for a fixed time.
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
        /// Expected outcome of the command.
        outcome: EditOutcome,
    },
    /// Applies two catalogue files concurrently; exactly one must be accepted.
    Race(Edit, Edit),
    /// Sends requests.
    Send(SendStep),
    /// Waits until targets have started this number of runs.
    WaitRuns {
        /// Number of runs since the start of the scenario, without those of probes.
        count: usize,
        /// Longest wait.
        within: Duration,
    },
    /// Waits until callers in the background have finished.
    WaitSends {
        /// Longest wait for each caller.
        within: Duration,
    },
    /// Sends probes until all of them get complete answers.
    WaitAnswers {
        /// Whether the probes carry idempotency keys.
        keyed: bool,
        /// Service.
        service: String,
        /// Path.
        path: String,
        /// Nodes, used in turn.
        through: Vec<String>,
        /// Longest wait.
        within: Duration,
    },
    /// Kills, stops or restarts processes.
    Lifecycle(Lifecycle),
    /// Pauses a process with `SIGSTOP` and continues it later, in the background.
    Freeze {
        /// Name of the process.
        name: String,
        /// Length of the pause.
        time: Duration,
    },
    /// Injects a fault into the store.
    Store(StoreFault),
    /// Injects a fault into a target.
    Target {
        /// Name of the target.
        name: String,
        /// The fault.
        fault: TargetFault,
    },
    /// Acts on a rollout or checks it.
    Move(MoveStep),
    /// Deregisters a target at its node; the target itself keeps running and accepting requests.
    Deregister(String),
    /// Sends bytes that are not a valid message.
    Bytes(BytesStep),
    /// Checks an expectation.
    Expect(Expectation),
}

/// Catalogue file and the node through which it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// File, relative to the scenario's directory.
    pub file: String,
    /// Node; the first node of the scenario when absent.
    pub through: Option<String>,
}

/// Expected outcome of a catalogue command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// Accepted.
    Accepted,
    /// Refused; the message contains this text, if any.
    Refused(Option<String>),
    /// Reported as unknown.
    Unknown,
}

/// Listening address of a node.
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

/// Bytes to send to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BytesStep {
    /// Node.
    pub node: String,
    /// Address of the node.
    pub port: Port,
    /// The bytes.
    pub content: BytesContent,
}

/// Bytes of a [`BytesStep`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BytesContent {
    /// This number of random messages, generated from the seed of the scenario.
    Random(usize),
    /// A text.
    Text(String),
}

/// Kill, stop or restart of processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Kills a process with `SIGKILL`.
    Kill(String),
    /// Kills a node and its targets with `SIGKILL`.
    KillVm(String),
    /// Shuts a process down with `SIGTERM` and waits until it has exited.
    Stop(String),
    /// Starts a process again with the same settings; a running one is killed first.
    Restart(String),
    /// Kills all nodes and starts them again, without waiting in between.
    RestartAllNodes,
}

/// Requests to send.
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
    /// Whether the requests carry keys and how often they may run.
    pub key: KeyMode,
    /// Options.
    pub options: SendOptions,
}

/// Options of a send step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendOptions {
    /// Prefix of every request body.
    pub body: Option<String>,
    /// Requests started per second.
    pub rate_per_s: Option<u64>,
    /// Maximum number of requests in flight.
    pub concurrency: Option<usize>,
    /// Timeout of one send.
    pub timeout: Option<Duration>,
    /// Maximum number of resends of a request; they carry the same key, if any.
    pub resends: Option<usize>,
    /// Pause before a resend.
    pub resend_pause: Option<Duration>,
    /// Whether the scenario continues while the requests are sent.
    pub background: bool,
}

/// Nodes that an expectation covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All running nodes.
    All,
    /// The node with this name.
    Node(String),
}

/// Quantity that can have an upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// Requests whose outcome is unknown.
    Unknown,
    /// Requests that were not run.
    NotRun,
    /// Writes that the store accepted.
    StoreWrites,
    /// Target processes that have exited.
    EndedTargets,
}

/// Bound on the value of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricBound {
    /// The value reaches the number within the time.
    AtLeast(u64, Duration),
    /// The current value does not exceed the number.
    AtMost(u64),
}

/// Condition that must hold at a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// A revision or a newer one is in force.
    Revision {
        /// Lowest revision.
        revision: u64,
        /// Nodes.
        scope: Scope,
        /// Longest wait.
        within: Duration,
    },
    /// No non-idempotent request ran more than once.
    NoDoubleRuns,
    /// No answer was incomplete or belonged to another request.
    NoWrongAnswers,
    /// No request that was reported as not run has run.
    NoFalseNotRun,
    /// At least this number of sends were answered with this code.
    AtLeastCode(usize, String),
    /// A metric, summed over its labels, is within a bound.
    Metric {
        /// Name of the metric.
        name: String,
        /// Nodes.
        scope: Scope,
        /// Bound.
        bound: MetricBound,
    },
    /// The log of a node contains a text.
    Log {
        /// The text.
        text: String,
        /// Node.
        node: String,
        /// Longest wait.
        within: Duration,
    },
    /// The log of a node does not contain a text.
    NoLog {
        /// The text.
        text: String,
        /// Node.
        node: String,
    },
    /// Nodes run and answer on their local address.
    Running(Scope),
    /// A target started no run later than this time after its deregistration.
    NoRunsAfterLeave {
        /// Target.
        target: String,
        /// Time since the `leave` step.
        after: Duration,
    },
    /// A node never serves an older revision during an observation.
    NeverBelow {
        /// Lowest revision.
        revision: u64,
        /// Node.
        node: String,
        /// Length of the observation.
        time: Duration,
    },
    /// At least this number of requests got a complete answer.
    AtLeastAnswered(usize),
    /// A quantity does not exceed this number.
    AtMost(usize, Counted),
}
