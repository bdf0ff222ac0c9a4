//! Options of all commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options;

use crate::operator::request::ReportFormat;

/// `Arguments` is the whole command line.
#[derive(Debug, Options)]
#[options(help = "Configuration distribution for a service mesh.")]
pub struct Arguments {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<Command>,
}

/// `Command` is a command of the program.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs a node.
    #[options(help = "run the node of this VM")]
    Node(NodeOptions),
    /// Runs a node on the platform.
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

/// `NodeOptions` are the options of `node`.
#[derive(Debug, Options)]
#[options(help = "Run the node of this VM.")]
pub struct NodeOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(required, meta = "FILE", help = "settings file")]
    pub settings: PathBuf,
}

/// `SidecarOptions` are the options of `sidecar`.
#[derive(Debug, Options)]
#[options(help = "Run the node of this VM on a platform that keeps the configuration.")]
pub struct SidecarOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(
        meta = "FILE",
        help = "settings file; where the platform puts it if not given"
    )]
    pub settings: Option<PathBuf>,
}

/// `CatalogueOptions` are the options of `catalogue`.
#[derive(Debug, Options)]
#[options(help = "Read and change the catalogue.")]
pub struct CatalogueOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<CatalogueCommand>,
}

/// `CatalogueCommand` is a command on the catalogue.
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

/// `ApplyOptions` are the options of `catalogue apply`.
#[derive(Debug, Options)]
#[options(help = "Create or change the entries of a catalogue file.")]
pub struct ApplyOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Catalogue file.
    #[options(free, required, help = "catalogue file")]
    pub file: PathBuf,
    /// Node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name in the change records.
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

/// `EntryOptions` are the options of `catalogue get`.
#[derive(Debug, Options)]
#[options(help = "Print an entry in the form of a catalogue file.")]
pub struct EntryOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Node to ask.
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

/// `HistoryOptions` are the options of `catalogue history`.
#[derive(Debug, Options)]
#[options(help = "List the changes of an entry, newest first.")]
pub struct HistoryOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Number of changes.
    #[options(no_short, meta = "COUNT", help = "number of changes", default = "50")]
    pub limit: usize,
    /// Node to ask.
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

/// `RemoveOptions` are the options of `catalogue remove`.
#[derive(Debug, Options)]
#[options(help = "Remove an entry that no route depends on.")]
pub struct RemoveOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
    /// Last change that the operator saw.
    #[options(
        no_short,
        meta = "REVISION",
        help = "refuse if the entry changed after this revision"
    )]
    pub seen_revision: Option<u64>,
    /// Node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name in the change records.
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

/// `MoveOptions` are the options of `move`.
#[derive(Debug, Options)]
#[options(help = "Abort, pause or resume the move of a service.")]
pub struct MoveOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<MoveChange>,
}

/// `MoveChange` is a command on a move.
#[derive(Debug, Options)]
pub enum MoveChange {
    /// Gives all traffic back.
    #[options(help = "give all traffic back to the old version, for good")]
    Abort(MoveChangeOptions),
    /// Holds the share.
    #[options(help = "hold the share of the new version")]
    Pause(MoveChangeOptions),
    /// Follows the plan again.
    #[options(help = "follow the plan again")]
    Resume(MoveChangeOptions),
}

/// `MoveChangeOptions` are the options of the commands on a move.
#[derive(Debug, Options)]
#[options(help = "Change the move of a service.")]
pub struct MoveChangeOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Service.
    #[options(free, required, help = "name of the service")]
    pub service: String,
    /// Why.
    #[options(
        no_short,
        required,
        meta = "TEXT",
        help = "reason for the change records"
    )]
    pub reason: String,
    /// Node to ask.
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "operator address of a node",
        default = "127.0.0.1:7103"
    )]
    pub node: NodeAddress,
    /// Name in the change records.
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

/// `RemoteOptions` are the options of commands that only read from a node.
#[derive(Debug, Options)]
#[options(help = "Ask a node.")]
pub struct RemoteOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Node to ask.
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

/// `ReportOptions` are the options of `report`.
#[derive(Debug, Options)]
#[options(help = "Report on versions completed on time and stopped early.")]
pub struct ReportOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Node to ask.
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

/// `CheckOptions` are the options of `check`.
#[derive(Debug, Options)]
#[options(help = "Check a settings or catalogue file.")]
pub struct CheckOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// File.
    #[options(free, required, help = "settings or catalogue file")]
    pub file: PathBuf,
}

/// `PageOptions` are the options of `errors` and `settings`.
#[derive(Debug, Options)]
#[options(help = "Print a table of the registered result codes or settings.")]
pub struct PageOptions {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Output format.
    #[options(no_short, meta = "FORMAT", help = "table, json or markdown")]
    pub format: PageFormat,
}

/// `NodeAddress` is the operator address of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddress(pub SocketAddr);

impl FromStr for NodeAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.parse()
            .map(Self)
            .map_err(|_| format!("`{text}` is no IP address with a port"))
    }
}

impl Default for NodeAddress {
    fn default() -> Self {
        Self(SocketAddr::from(([127, 0, 0, 1], 7103)))
    }
}

/// `Format` is the output format of most commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
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

/// `PageFormat` is the output format of the generated tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PageFormat {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
    /// For the pages in `docs`.
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
