//! Dates on the command line and in reports.

const DAY_MS: i64 = 86_400_000;
/// Days of an era: 400 years of the Gregorian calendar, after which it repeats.
const ERA_DAYS: i64 = 146_097;
/// Days from 0000-03-01, the start of the first era, to 1970-01-01.
const EPOCH_DAYS: i64 = 719_468;

/// Parses `YYYY-MM-DD`, meaning midnight UTC, or a number of milliseconds since the Unix epoch,
/// into milliseconds since the Unix epoch.
///
/// Returns `None` for other text and for days that the month does not have.
pub fn parse_date(text: &str) -> Option<u64> {
    if let Ok(millis) = text.parse() {
        return Some(millis);
    }
    let mut parts = text.splitn(3, '-');
    let year: i64 = parts.next()?.parse().ok()?;
    let month: i64 = parts.next()?.parse().ok()?;
    let day: i64 = parts.next()?.parse().ok()?;
    let is_month = (1970..=9999).contains(&year) && (1..=12).contains(&month);
    if !is_month || !(1..=days_in_month(year, month)).contains(&day) {
        return None;
    }
    u64::try_from(days_from_civil(year, month, day) * DAY_MS).ok()
}

fn days_in_month(year: i64, month: i64) -> i64 {
    let (next_year, next_month) = if month == 12 { (year + 1, 1) } else { (year, month + 1) };
    days_from_civil(next_year, next_month, 1) - days_from_civil(year, month, 1)
}

// Days since 1970-01-01 in the proleptic Gregorian calendar. Years are counted from March, so that
// the leap day is the last day of a year.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * ERA_DAYS + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year
        - EPOCH_DAYS
}

/// Formats a time in milliseconds since the Unix epoch as `YYYY-MM-DDTHH:MM:SSZ`.
pub fn format_time(millis: u64) -> String {
    let millis = millis as i64;
    let days = millis.div_euclid(DAY_MS) + EPOCH_DAYS;
    let era = days.div_euclid(ERA_DAYS);
    let day_of_era = days.rem_euclid(ERA_DAYS);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let seconds = millis.rem_euclid(DAY_MS) / 1000;
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
