//! What control and the process cost, on the page of figures.
use super::*;

fn lines(text: &str, start: &str) -> Vec<String> {
    text.lines().filter(|l| l.starts_with(start)).map(str::to_string).collect()
}

#[test]
fn every_role_is_shown_with_noughts_and_datagrams_where_there_are_any() {
    let text = Figures::default().text(&Gauges::default());
    let ways = |family: &str, role: &str| {
        ["out", "in"]
            .map(|way| format!("sender_control_{family}_total{{role=\"{role}\",direction=\"{way}\"}} 0"))
    };
    let roles = ["membership", "discovery", "store", "notices", "operators"];
    let bytes = roles.into_iter().flat_map(|role| ways("bytes", role));
    let expected: Vec<String> = bytes.chain(ways("datagrams", "membership")).collect();
    assert_eq!(lines(&text, "sender_control_"), expected);
}

#[test]
fn the_process_has_its_usual_names_and_is_left_out_where_it_is_not_known() {
    let figures = Figures::default();
    let of = |process| {
        let text = figures.text(&Gauges { process, ..Gauges::default() });
        assert!(text.ends_with("# EOF\n"), "{text}");
        lines(&text, "process_")
    };
    let cpu = Some(Duration::from_millis(1_250));
    let known = ["process_cpu_seconds_total 1.25", "process_resident_memory_bytes 8388608"];
    assert_eq!(of(Process { cpu, memory: Some(8 << 20) }), known);
    assert_eq!(of(Process { cpu, memory: None }), known[..1]);
    assert_eq!(of(Process::default()), [""; 0]);
}
