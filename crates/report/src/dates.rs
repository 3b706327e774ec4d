//! Dates on the command line and in reports.

const DAY_MS: i64 = 86_400_000;

/// Reads `YYYY-MM-DD`, midnight UTC, or milliseconds since 1970.
pub fn parse_date(text: &str) -> Option<u64> {
    if let Ok(millis) = text.parse() {
        return Some(millis);
    }
    let mut parts = text.splitn(3, '-');
    let year: i64 = parts.next()?.parse().ok()?;
    let month: i64 = parts.next()?.parse().ok()?;
    let day: i64 = parts.next()?.parse().ok()?;
    let is_date = (1970..=9999).contains(&year) && (1..=12).contains(&month);
    if !is_date || !(1..=31).contains(&day) {
        return None;
    }
    u64::try_from(days_from_civil(year, month, day) * DAY_MS).ok()
}

// Days since 1970-01-01 in the Gregorian calendar, with years that start in March.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468
}

/// Writes a time as `YYYY-MM-DDTHH:MM:SSZ`.
pub fn format_time(millis: u64) -> String {
    let millis = millis as i64;
    let days = millis.div_euclid(DAY_MS) + 719_468;
    let era = days.div_euclid(146_097);
    let of_era = days.rem_euclid(146_097);
    let years = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * years + years / 4 - years / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = years + era * 400 + i64::from(month <= 2);
    let seconds = millis.rem_euclid(DAY_MS) / 1000;
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
