//! Hosts that did not run for a while and read what arrived meanwhile.

use mangostep_policy::{PauseDetector, PauseSettings};

use crate::at_ms;

/// A host that woke up took reports that had waited for seconds for current
/// ones, before and after its own timer had noticed the pause.
#[test]
fn messages_read_right_after_a_pause_may_be_old() {
    let mut detector = PauseDetector::open(PauseSettings::default());
    assert!(!detector.may_be_delayed(at_ms(0)));
    for tick in 0..10 {
        assert_eq!(detector.tick(at_ms(tick * 200)), None);
    }
    assert!(!detector.may_be_delayed(at_ms(1_900)));
    assert!(detector.may_be_delayed(at_ms(5_000)));
    let pause = detector.tick(at_ms(5_010)).expect("it was paused");
    assert_eq!(pause.as_millis(), 3_210);
    assert!(detector.may_be_delayed(at_ms(5_200)));
    assert_eq!(detector.tick(at_ms(5_210)), None);
    assert!(!detector.may_be_delayed(at_ms(5_320)));
}
