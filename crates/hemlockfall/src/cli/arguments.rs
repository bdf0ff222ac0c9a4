//! Options of all commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;

use crate::operator::request::ReportFormat;

/// Command line of the program.
#[derive(Debug, Options)]
#[options(help = "Configuration distribution for a service mesh.")]
pub struct Arguments {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<Command>,
}

/// Command of the program.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs a node.
    #[options(help = "run the node of this VM")]
    Node(NodeOptions),
    /// Runs a node on a platform that stores the configuration.
    #[options(help = "run the node of this VM on a platform that keeps the configuration")]
    Sidecar(SidecarOptions),
    /// Reads and changes the catalogue.
    #[options(help = "read and change the catalogue")]
    Catalogue(CatalogueOptions),
    /// Changes a move.
    #[options(help = "abort, pause or resume the move of a service")]
    Move(MoveOptions),
    /// Shows the state of a node.
    #[options(help = "show the state of a node")]
    Status(RemoteOptions),
    /// Shows the report on moves.
    #[options(help = "report on versions completed on time and stopped early")]
    Report(ReportOptions),
    /// Explains where a request would go.
    #[options(help = "show where a node would send a request now and why, without sending it")]
    Explain(ExplainOptions),
    /// Checks a file.
    #[options(help = "check a settings or catalogue file")]
    Check(CheckOptions),
    /// Prints the result codes.
    #[options(help = "print the table of result codes")]
    Errors(PageOptions),
    /// Prints the settings.
    #[options(help = "print every setting with unit, default and range")]
    Settings(PageOptions),
}

/// Options of `node`.
#[derive(Debug, Options)]
#[options(help = "Run the node of this VM.")]
pub struct NodeOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(required, meta = "FILE", help = "settings file")]
    pub settings: PathBuf,
}

/// Options of `sidecar`.
#[derive(Debug, Options)]
#[options(help = "Run the node of this VM on a platform that keeps the configuration.")]
pub struct SidecarOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(
        meta = "FILE",
        help = "settings file; where the platform puts it if not given"
    )]
    pub settings: Option<PathBuf>,
}

/// Options of `catalogue`.
#[derive(Debug, Options)]
#[options(help = "Read and change the catalogue.")]
pub struct CatalogueOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<CatalogueCommand>,
}

/// Command on the catalogue.
#[derive(Debug, Options)]
pub enum CatalogueCommand {
    /// Creates or changes entries.
    #[options(help = "create or change the entries of a file")]
    Apply(ApplyOptions),
    /// Prints an entry.
    #[options(help = "print an entry in the form of a catalogue file")]
    Get(EntryOptions),
    /// Lists all entries.
    #[options(help = "list all entries")]
    List(RemoteOptions),
    /// Lists changes.
    #[options(help = "list the changes of an entry, newest first")]
    History(HistoryOptions),
    /// Removes an entry.
    #[options(help = "remove an entry")]
    Remove(RemoveOptions),
}

/// Options of `catalogue apply`.
#[derive(Debug, Options)]
#[options(help = "Create or change the entries of a catalogue file.")]
pub struct ApplyOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Catalogue file.
    #[options(free, required, help = "catalogue file")]
    pub file: PathBuf,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name of the operator in the change records.
    #[options(
        no_short,
        meta = "NAME",
        help = "name for the change records, default $USER"
    )]
    pub who: Option<String>,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of `catalogue get`.
#[derive(Debug, Options)]
#[options(help = "Print an entry in the form of a catalogue file.")]
pub struct EntryOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of `catalogue history`.
#[derive(Debug, Options)]
#[options(help = "List the changes of an entry, newest first.")]
pub struct HistoryOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Maximum number of changes.
    #[options(no_short, meta = "COUNT", help = "number of changes", default = "50")]
    pub limit: usize,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of `catalogue remove`.
#[derive(Debug, Options)]
#[options(help = "Remove an entry that no route depends on.")]
pub struct RemoveOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Last revision that the operator has seen.
    #[options(
        no_short,
        meta = "REVISION",
        help = "refuse if the entry changed after this revision"
    )]
    pub seen_revision: Option<u64>,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name of the operator in the change records.
    #[options(
        no_short,
        meta = "NAME",
        help = "name for the change records, default $USER"
    )]
    pub who: Option<String>,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of `move`.
#[derive(Debug, Options)]
#[options(help = "Abort, pause or resume the move of a service.")]
pub struct MoveOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<MoveChange>,
}

/// Command on a move, which is the rollout of a new version.
#[derive(Debug, Options)]
pub enum MoveChange {
    /// Rolls back to the old version permanently.
    #[options(help = "give all traffic back to the old version, for good")]
    Abort(MoveChangeOptions),
    /// Holds the current traffic share.
    #[options(help = "hold the share of the new version")]
    Pause(MoveChangeOptions),
    /// Continues with the plan.
    #[options(help = "follow the plan again")]
    Resume(MoveChangeOptions),
}

/// Options of the commands on a move.
#[derive(Debug, Options)]
#[options(help = "Change the move of a service.")]
pub struct MoveChangeOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the service.
    #[options(free, required, help = "name of the service")]
    pub service: String,
    /// Reason for the change.
    #[options(
        no_short,
        required,
        meta = "TEXT",
        help = "reason for the change records"
    )]
    pub reason: String,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name of the operator in the change records.
    #[options(
        no_short,
        meta = "NAME",
        help = "name for the change records, default $USER"
    )]
    pub who: Option<String>,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of commands that only read from a node.
#[derive(Debug, Options)]
#[options(help = "Ask a node.")]
pub struct RemoteOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub format: Format,
}

/// Options of `report`.
#[derive(Debug, Options)]
#[options(help = "Report on versions completed on time and stopped early.")]
pub struct ReportOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operator address of the node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "table, json or html")]
    pub format: ReportFormat,
    /// Output file.
    #[options(
        no_short,
        meta = "FILE",
        help = "write to a file in place of standard output"
    )]
    pub output: Option<PathBuf>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
#[options(
    help = "Show where a node of `sidecar` would send a request now and why, without sending it."
)]
pub struct ExplainOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Metrics address of the node to ask.
    #[options(
        no_short,
        required,
        meta = "ADDRESS",
        help = "metrics address of the node that the request would arrive at"
    )]
    pub node: NodeAddress,
    /// Request method.
    #[options(
        no_short,
        meta = "METHOD",
        help = "method of the request",
        default = "GET"
    )]
    pub method: String,
    /// Host.
    #[options(no_short, required, meta = "HOST", help = "host of the request")]
    pub host: String,
    /// Path.
    #[options(no_short, required, meta = "PATH", help = "path of the request")]
    pub path: String,
    /// Name of the client account.
    #[options(
        no_short,
        meta = "NAME",
        help = "name, not key, of the client account of the request"
    )]
    pub account: Option<String>,
    /// Time for which the caller waits.
    #[options(
        no_short,
        meta = "MS",
        help = "time for which the caller waits, default the timeout of the route"
    )]
    pub timeout_ms: Option<u64>,
    /// Whether to print JSON.
    #[options(no_short, help = "print JSON in place of text")]
    pub json: bool,
}

/// Options of `check`.
#[derive(Debug, Options)]
#[options(help = "Check a settings or catalogue file.")]
pub struct CheckOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// File to check.
    #[options(free, required, help = "settings or catalogue file")]
    pub file: PathBuf,
}

/// Options of `errors` and `settings`.
#[derive(Debug, Options)]
#[options(help = "Print a table of the registered result codes or settings.")]
pub struct PageOptions {
    /// Whether help was requested.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "table, json or markdown")]
    pub format: PageFormat,
}

/// Operator address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddress(pub SocketAddr);

impl FromStr for NodeAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.parse()
            .map(Self)
            .map_err(|_| format!("`{text}` is not an IP address with a port"))
    }
}

impl Default for NodeAddress {
    fn default() -> Self {
        Self(SocketAddr::from(([127, 0, 0, 1], 7103)))
    }
}

/// Output format of most commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is not one of text, json")),
        }
    }
}

/// Output format of the generated tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PageFormat {
    /// Text for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
    /// Markdown for the pages in `docs`.
    Markdown,
}

impl FromStr for PageFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "markdown" => Ok(Self::Markdown),
            other => Err(format!("`{other}` is not one of table, json, markdown")),
        }
    }
}
