//! Line-by-line difference of two questionnaires.

/// Maximum number of line pairs to compare, which bounds time and memory. Above it, all lines
/// between the common prefix and the common suffix are reported as different.
const MAX_LINE_PAIRS: usize = 4_000_000;

/// Returns the lines that are only in `old`, marked with `-`, and those that are only in `new`,
/// marked with `+`, in text order.
pub fn difference(old: &str, new: &str) -> Vec<String> {
    let old: Vec<&str> = old.lines().map(str::trim_end).collect();
    let new: Vec<&str> = new.lines().map(str::trim_end).collect();
    let start = common_prefix_len(old.iter(), new.iter());
    let (old, new) = (&old[start..], &new[start..]);
    let end = common_prefix_len(old.iter().rev(), new.iter().rev());
    let (old, new) = (&old[..old.len() - end], &new[..new.len() - end]);
    if old.len() * new.len() > MAX_LINE_PAIRS {
        return with_mark(old, '-').chain(with_mark(new, '+')).collect();
    }
    diff_by_lcs(old, new)
}

fn common_prefix_len<'a>(
    old: impl Iterator<Item = &'a &'a str>,
    new: impl Iterator<Item = &'a &'a str>,
) -> usize {
    old.zip(new).take_while(|(a, b)| a == b).count()
}

fn with_mark<'a>(lines: &'a [&str], mark: char) -> impl Iterator<Item = String> + 'a {
    lines.iter().map(move |line| format!("{mark} {line}"))
}

/// Returns the marked lines that are not part of the longest common subsequence.
fn diff_by_lcs(old: &[&str], new: &[&str]) -> Vec<String> {
    let width = new.len() + 1;
    // Length of the longest common subsequence of the suffixes `old[i..]` and `new[j..]`.
    let mut lcs_len = vec![0_u32; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lcs_len[i * width + j] = if old[i] == new[j] {
                lcs_len[(i + 1) * width + j + 1] + 1
            } else {
                lcs_len[(i + 1) * width + j].max(lcs_len[i * width + j + 1])
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            (i, j) = (i + 1, j + 1);
        } else if lcs_len[(i + 1) * width + j] >= lcs_len[i * width + j + 1] {
            lines.push(format!("- {}", old[i]));
            i += 1;
        } else {
            lines.push(format!("+ {}", new[j]));
            j += 1;
        }
    }
    lines.extend(with_mark(&old[i..], '-'));
    lines.extend(with_mark(&new[j..], '+'));
    lines
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equal_texts_do_not_differ() {
        assert!(difference("a\nb\n", "a\nb").is_empty());
    }

    #[test]
    fn changed_added_and_removed_lines_are_marked() {
        let lines = difference("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n");
        assert_eq!(lines, ["- b", "+ x", "+ e"]);
        assert_eq!(difference("", "a"), ["+ a"]);
        assert_eq!(difference("a\nb", "b"), ["- a"]);
    }

    #[test]
    fn large_texts_are_not_compared_line_by_line() {
        let old: String = (0..3_000).map(|line| format!("old {line}\n")).collect();
        let new: String = (0..3_000).map(|line| format!("new {line}\n")).collect();
        assert_eq!(difference(&old, &new).len(), 6_000);
    }
}
