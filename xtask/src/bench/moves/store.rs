//! Fake store with the catalogue, one lease and the results of moves.

use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_moves::action::Lease;
use hemlockfall_moves::lease::LeaseRead;
use hemlockfall_moves::lease::LeaseWrite;
use hemlockfall_moves::owner::CommitAnswer;
use hemlockfall_moves::owner::ReadBackAnswer;
use hemlockfall_moves::record::MoveResult;

use super::scenario::ROUTES;
use super::scenario::START_UNIX_MS;
use super::scenario::Scenario;

/// Name of the service that is rolled out.
pub const SERVICE: &str = "order-desk";

/// Fake store that always answers; the simulation decides when the store is unreachable.
#[derive(Default)]
pub struct Store {
    /// Value of `catalogue/current`.
    pub catalogue: StoredCatalogue,
    /// Values of `moves/result/MOVE_ID`.
    pub results: Vec<MoveResult>,
    lease: Option<(Lease, u64)>,
}

impl Store {
    /// Creates a store in which a move has just started.
    pub fn with_move(scenario: &Scenario) -> Result<Self, String> {
        let mut store = Self::default();
        for (number, version) in [(1, "v1"), (2, "v2")] {
            let author = Author {
                operation_id: uuid::Uuid::from_u128(number),
                who: "bench".into(),
                at_unix_ms: START_UNIX_MS,
            };
            let edit = apply_edit(scenario, version)?;
            store.catalogue = edit
                .apply(&store.catalogue, &author)
                .map_err(|error| error.to_string())?;
        }
        Ok(store)
    }

    /// Returns the entry of the service.
    pub fn entry(&self) -> Option<&ServiceEntry> {
        self.catalogue.configuration.entry(SERVICE)
    }

    /// Applies an edit unless the entry has changed since the revision that the writer saw.
    pub fn commit(
        &mut self,
        edit: &Edit,
        author: &Author,
        seen_revision: Revision,
    ) -> CommitAnswer {
        if self.catalogue.has_operation(author.operation_id) {
            return CommitAnswer::Accepted {
                revision: self.catalogue.configuration.revision,
            };
        }
        let current = self.entry().map_or(0, |entry| entry.changed_revision);
        if current != seen_revision {
            return CommitAnswer::Refused {
                reason: "the entry changed".into(),
            };
        }
        match edit.apply(&self.catalogue, author) {
            Ok(after) => {
                self.catalogue = after;
                CommitAnswer::Accepted {
                    revision: self.catalogue.configuration.revision,
                }
            }
            Err(error) => CommitAnswer::Refused {
                reason: error.to_string().into(),
            },
        }
    }

    /// Looks up an operation in the change records.
    pub fn read_back(&self, operation_id: OperationId) -> ReadBackAnswer {
        self.catalogue
            .changes
            .iter()
            .find(|change| change.operation_id == operation_id)
            .map_or(ReadBackAnswer::Missing, |change| ReadBackAnswer::Found {
                revision: change.revision,
            })
    }

    /// Reads the lease object.
    pub fn read_lease(&self) -> LeaseRead {
        match &self.lease {
            Some((lease, version)) => LeaseRead::Found {
                lease: lease.clone(),
                version: *version,
            },
            None => LeaseRead::Absent,
        }
    }

    /// Writes the lease object if its version is the expected one.
    pub fn write_lease(&mut self, lease: Lease, if_version: u64) -> LeaseWrite {
        let current = self.lease.as_ref().map_or(0, |(_, version)| *version);
        if current != if_version {
            return LeaseWrite::Conflict;
        }
        let version = current + 1;
        self.lease = Some((lease, version));
        LeaseWrite::Written { version }
    }
}

fn apply_edit(scenario: &Scenario, version: &str) -> Result<Edit, String> {
    let routes: String = ROUTES
        .iter()
        .map(|route| {
            [
                "[[service.route]]\nname = \"",
                route,
                "\"\npath_prefix = \"/",
                route,
                "\"\n",
            ]
            .concat()
        })
        .collect();
    let on_outage = match scenario.on_outage {
        hemlockfall_core::catalogue::OnOutage::Advance => "advance",
        hemlockfall_core::catalogue::OnOutage::Freeze => "freeze",
    };
    let text = format!(
        "[[service]]\nname = \"{SERVICE}\"\nowner = \"bench\"\nversion = \"{version}\"\n\
         [service.move]\ndeadline_unix_ms = {}\non_outage = \"{on_outage}\"\n{routes}",
        START_UNIX_MS + scenario.duration_ms,
    );
    let mut file = CatalogueFile::parse("bench", &text).map_err(|error| error.to_string())?;
    Ok(Edit::Apply(Box::new(file.service.remove(0))))
}
