//! Registration of the settings of moves (rollouts).

use hemlockfall_core::kernel;
use hemlockfall_moves::options::Options;

/// Guards against registered defaults, which the settings page shows, that differ from the
/// defaults in `Options`.
#[test]
fn registered_defaults_equal_the_options() {
    let plugins = kernel::plugins();
    let plugin = plugins
        .iter()
        .find(|plugin| plugin.family == "moves")
        .expect("the family is registered");
    let text: String = plugin
        .settings
        .iter()
        .map(|spec| {
            [
                spec.key,
                " = ",
                spec.default.expect("no key is required"),
                "\n",
            ]
            .concat()
        })
        .collect();

    let options: Options = toml::from_str(&text).expect("the defaults parse");

    assert_eq!(options, Options::default());
    assert_eq!(plugin.settings.len(), 6);
}
