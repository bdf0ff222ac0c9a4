//! Edits of the catalogue: conflicts, final moves and validation rules.

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::edit::MoveAction;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::errors::Error;
use uuid::Uuid;

const START_UNIX_MS: u64 = 1_000_000;

fn author(operation: u128, at_unix_ms: u64) -> Author {
    Author {
        operation_id: Uuid::from_u128(operation),
        who: "tests".into(),
        at_unix_ms,
    }
}

fn apply_text(version: &str, seen: Option<u64>, depends_on: &str) -> Edit {
    let seen = seen.map_or(String::new(), |revision| {
        format!("seen_revision = {revision}")
    });
    let text = format!(
        "[[service]]\nname = \"order-desk\"\nowner = \"delivery\"\nversion = \"{version}\"\n{seen}\n\
         [[service.route]]\nname = \"orders\"\npath_prefix = \"/orders\"\ndepends_on = [{depends_on}]\n"
    );
    let mut file = CatalogueFile::parse("test.toml", &text).expect("the fixture is valid");
    Edit::Apply(Box::new(file.service.remove(0)))
}

fn catalogue_with_move() -> StoredCatalogue {
    let created = apply_text("v1", None, "")
        .apply(&StoredCatalogue::default(), &author(1, START_UNIX_MS))
        .expect("creation is accepted");
    apply_text("v2", None, "")
        .apply(&created, &author(2, START_UNIX_MS))
        .expect("the move is accepted")
}

fn move_edit(action: MoveAction, lease_term: u64) -> Edit {
    Edit::Move {
        service: "order-desk".into(),
        move_id: None,
        action,
        lease_term,
        reason: "test".into(),
    }
}

/// Guards against a silent overwrite when two operators edit the same entry.
#[test]
fn second_operator_gets_a_conflict_with_the_changes() {
    let before = catalogue_with_move();
    let stale_edit = apply_text("v2", Some(1), "");

    let result = stale_edit.apply(&before, &author(3, START_UNIX_MS + 1));

    let Err(Error::Conflict {
        current_revision,
        changes,
        ..
    }) = result
    else {
        panic!("expected a conflict, got {result:?}");
    };
    assert_eq!(current_revision, 2);
    assert_eq!(changes.len(), 1);
}

/// Guards against a route that depends on a service that is not in the catalogue.
#[test]
fn unknown_dependency_is_refused_by_name() {
    let edit = apply_text("v1", None, "\"filmstore\"");

    let result = edit.apply(&StoredCatalogue::default(), &author(1, START_UNIX_MS));

    let message = result.expect_err("the edit is refused").to_string();
    assert!(message.contains("`filmstore` does not exist"), "{message}");
}

/// Guards against a version that is deployed again after it was rolled back.
#[test]
fn rolled_back_version_cannot_return() {
    let before = catalogue_with_move();
    let taken_back = move_edit(MoveAction::TakeBack, 0)
        .apply(&before, &author(3, START_UNIX_MS + 1))
        .expect("the abort is accepted");

    let again = apply_text("v2", None, "").apply(&taken_back, &author(4, START_UNIX_MS + 2));
    let resumed =
        move_edit(MoveAction::Finish, 0).apply(&taken_back, &author(5, START_UNIX_MS + 2));

    assert!(matches!(again, Err(Error::MoveRefused { .. })), "{again:?}");
    assert!(
        matches!(resumed, Err(Error::MoveRefused { .. })),
        "{resumed:?}"
    );
    assert_eq!(taken_back.configuration.entries[0].active_version, "v1");
}

/// Guards against a late write of a judge whose lease has passed to another node.
#[test]
fn older_lease_term_is_refused() {
    let before = catalogue_with_move();
    let held = move_edit(MoveAction::Pause, 7)
        .apply(&before, &author(3, START_UNIX_MS + 1))
        .expect("the holder's write is accepted");

    let late = move_edit(MoveAction::Finish, 6).apply(&held, &author(4, START_UNIX_MS + 2));

    assert!(matches!(late, Err(Error::MoveRefused { .. })), "{late:?}");
}

/// Guards against nodes that use different shares after a deadline without a verdict.
#[test]
fn share_is_all_or_nothing_after_the_deadline() {
    let before = catalogue_with_move();
    let state = before.configuration.entries[0]
        .move_state
        .clone()
        .expect("a move runs");

    let shares: Vec<u16> = [None, Some(START_UNIX_MS + 5)]
        .into_iter()
        .map(|down_since| state.share_permille_at(state.deadline_unix_ms, down_since))
        .collect();

    assert_eq!(shares, [1000, 1000]);
    assert_eq!(state.status_at_deadline(), MoveStatus::Done);
    assert_eq!(state.planned_permille_at(START_UNIX_MS), 20);
}
