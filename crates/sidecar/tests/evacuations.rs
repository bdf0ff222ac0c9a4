//! Tests of the evacuations that nodes read from the store and exchange.

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_sidecar::evacuations::EvacuationChange;
use hemlockfall_sidecar::evacuations::EvacuationSet;
use hemlockfall_sidecar::evacuations::Evacuations;
use hemlockfall_sidecar::model::ObjectRevision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: u64 = 300;
const STEPS: usize = 200;
const NODES: usize = 4;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Store whose content is kept for each revision of the current era.
struct Store {
    era: u64,
    /// Content by revision; the first is that before all changes.
    contents: Vec<Vec<DataCentreName>>,
    changes: Vec<EvacuationChange>,
}

impl Store {
    fn revision(&self) -> ObjectRevision {
        ObjectRevision {
            era: self.era,
            number: u64::try_from(self.changes.len()).expect("few changes"),
        }
    }

    fn list(&self) -> EvacuationSet {
        EvacuationSet::new(self.contents[self.changes.len()].clone(), self.revision())
    }

    fn write(&mut self, change: EvacuationChange) {
        let mut content = self.contents[self.changes.len()].clone();
        content.retain(|name| *name != change.data_centre);
        if change.is_evacuated {
            content.push(change.data_centre.clone());
        }
        self.contents.push(content);
        self.changes.push(change);
    }

    /// Returns to the content of an earlier revision, and gives later ones out again.
    fn restore(&mut self, revision: usize) {
        self.era += 1;
        self.changes.truncate(revision);
        self.contents.truncate(revision + 1);
    }
}

/// Load: nodes that list and watch the store at different times, and exchange their sets in any order,
/// while the operator changes the evacuations and the store returns from older copies. Guards against
/// an evacuation that a late update ends, or one that a node never learns of.
#[test]
fn a_set_is_always_that_of_its_revision_and_never_an_earlier_one() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut store = Store {
            era: 0,
            contents: vec![Vec::new()],
            changes: Vec::new(),
        };
        let mut nodes: [Evacuations; NODES] = Default::default();
        let mut watched: [Option<(u64, usize)>; NODES] = [None; NODES];

        for _ in 0..STEPS {
            let node = random.random_range(0..NODES);
            let before = nodes[node].revision();
            let position = store.changes.len();
            match random.random_range(0..20) {
                0 => store.restore(random.random_range(0..=position)),
                1..8 => store.write(EvacuationChange {
                    data_centre: DATA_CENTRES[random.random_range(0..3)].into(),
                    is_evacuated: random.random(),
                }),
                8..14 => {
                    let set = match watched[node] {
                        Some((era, since)) if era == store.era => {
                            nodes[node].changed(&store.changes[since..], store.revision())
                        }
                        _ => store.list(),
                    };
                    nodes[node].adopt(set);
                    watched[node] = Some((store.era, position));
                }
                _ => {
                    let other = random.random_range(0..NODES);
                    if let Some(set) = nodes[other].newest().cloned() {
                        nodes[node].adopt(set);
                    }
                }
            }

            let known = nodes[node].revision();
            assert!(known >= before, "seed {seed}: the revision has decreased");
            if known.era == store.era && nodes[node].is_known() {
                let index = usize::try_from(known.number).expect("few changes");
                let expected = EvacuationSet::new(store.contents[index].clone(), known);
                assert_eq!(nodes[node].newest(), Some(&expected), "seed {seed}");
            }
        }
    }
}

/// Guards against a node that takes a data centre for open, or all for evacuated, before it has received
/// a set.
#[test]
fn nothing_is_known_before_the_first_set() {
    let mut evacuations = Evacuations::default();
    let was_known = evacuations.is_known();

    let set = EvacuationSet::new(vec!["b".into(), "a".into()], ObjectRevision::default());
    let is_newer = evacuations.adopt(set);

    assert!(!was_known && is_newer && evacuations.is_known());
    assert!(evacuations.contains(&"a".into()) && !evacuations.contains(&"c".into()));
}
