//! The sample settings are valid, and the defaults are what the schema says.

use std::path;

use proptest::prelude::*;

fn sample(name: &str) -> settings::InstanceSettings {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../test_data/settings")
        .join(name);
    settings::InstanceSettings::from_file(&path).expect("the sample is valid")
}

#[test]
fn the_samples_of_both_deployments_are_valid() {
    let coilquote = sample("coilquote.yaml");
    let addis = sample("addis.yaml");

    assert_eq!(coilquote.instance.region, ids::RegionName::from("eu-west"));
    assert_eq!(addis.workspace_header, "x-leather-workspace");
}

#[test]
fn settings_written_as_yaml_read_back_the_same() {
    let settings = sample("coilquote.yaml");

    let text = serde_saphyr::to_string(&settings).expect("settings serialize");

    let read = settings::InstanceSettings::from_yaml("written.yaml", &text).expect("valid");
    assert_eq!(read, settings);
}

#[test]
fn every_key_that_may_be_left_out_has_a_default_or_stands_for_nothing() {
    let without_default: Vec<_> = settings::key_entries()
        .into_iter()
        .filter(|entry| !entry.required && entry.default.is_none())
        .map(|entry| entry.key)
        .collect();

    assert_eq!(
        without_default,
        ["platform.weight_store", "tracing.collector"]
    );
}

proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in "[ \\t\\n:a-z0-9_é#&*\\[\\]{}|>'\"-]{0,200}") {
        let _ = settings::InstanceSettings::from_yaml("any.yaml", &text);
    }

    #[test]
    fn a_cut_off_sample_never_makes_the_reader_panic(cut in 0_usize..1_500) {
        let path = path::Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../test_data/settings/coilquote.yaml");
        let text = std::fs::read_to_string(path).expect("the sample is on disk");
        let part: String = text.chars().take(cut).collect();

        let _ = settings::InstanceSettings::from_yaml("part.yaml", &part);
    }
}
