//! Stored maintenance state: its size for a fleet of the target size, and its round trip through
//! JSON.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use rosemaryscale_domain::Millis;
use rosemaryscale_domain::maintenance::{InstanceRecord, MaintenanceState, Stage, WaveFailure};

/// Target size of a fleet.
const INSTANCES: usize = 970;
const ZONES: usize = 7;
const ZONE_MAX_BYTES: usize = 16_000;

/// Guards against a state that grows too large for its key, and against fields that the encoding
/// loses.
#[test]
fn the_state_of_a_zone_is_small_and_survives_a_round_trip() {
    let wall = Millis::from_ms(1_796_374_800_000);
    let mut state = MaintenanceState::default();
    for index in 0..INSTANCES.div_ceil(ZONES) {
        let running = (index < 8).then_some((Stage::Rebooting { seen_down: true }, wall));
        let record = InstanceRecord {
            last_wall_ms: wall,
            maintained: true,
            running,
            retry_wall_ms: None,
        };
        let name = format!("worker-of-zone-{index:04}");
        state.instances.insert(name.into(), record);
    }
    state.wave.failures.push(WaveFailure {
        instance: "worker-of-zone-0001".into(),
        rack: "rack-0001".into(),
        at_wall_ms: wall,
    });
    let text = serde_json::to_string(&state).expect("the state can be serialized");
    println!(
        "{} bytes for {} instances",
        text.len(),
        state.instances.len()
    );
    assert!(text.len() < ZONE_MAX_BYTES, "{} bytes", text.len());
    let decoded: MaintenanceState = serde_json::from_str(&text).expect("the text can be parsed");
    assert_eq!(decoded, state);
}
