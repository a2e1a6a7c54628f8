//! Tests that requests to an endpoint stay within the limit that it names.

use super::*;

#[test]
fn limits_are_decimal_numbers() {
    let parsed = |text| RateLimit::parse(text).map(RateLimit::requests_per_s);
    assert_eq!(parsed("1.8"), Some(1.8));
    assert_eq!(parsed(" 12 "), Some(12.0));
    assert_eq!(parsed("0"), Some(0.25));
    assert_eq!(parsed("inf"), Some(1e6));
    for malformed in ["", "-1", "nan", "1,8", "fast"] {
        assert_eq!(parsed(malformed), None, "{malformed:?}");
    }
}
