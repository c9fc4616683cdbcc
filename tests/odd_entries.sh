#!/usr/bin/env bash
# Sends entries that no target, operator or caller should write to each controller and through an entry host. No process
# may end by them, also not after a restart, and the others are served as before. Needs FILBERT_BIN.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
failures=0
# Addresses of this run alone; filbert-soak uses other last numbers.
net=127.$((1 + $$ / 250 % 250)).$(($$ % 250))
mapfile -t ports < <(free_ports 4)
control_port=${ports[0]} message_port=${ports[1]} front_port=${ports[2]} ready_port=${ports[3]}
controls=("$net.201:$control_port" "$net.202:$control_port" "$net.203:$control_port")
front=$net.204:$front_port
seeds=${controls[0]},${controls[1]},${controls[2]}

start_platform_controller() { # NUMBER FIRST-START
    start "c$1" "$bin/filbert-platform-controller" --name="c$1" --ip="$net.20$1" --control="$net.20$1:$control_port" \
        --data_folder="$work/data-$1" --first_start="$2" --seeds="$seeds" --message_port="$message_port" \
        --closed_network=true --failure_domain=a --failure_domains=a,b --fault_tolerance=1
}

wrong() {
    echo "WRONG: $*"
    failures=$((failures + 1))
}

status() { # CURL-ARGUMENTS...: prints the status of the answer, 000 if there is none
    curl -s -m 8 -o "$work/answer" -w '%{http_code}' --path-as-is "$@" || true
}

expect() { # DESCRIPTION STATUS CURL-ARGUMENTS...
    local what=$1 wanted=$2 got
    shift 2
    got=$(status "$@")
    [ "$got" = "$wanted" ] && echo "right: $what: $got" && return
    wrong "$what: expected $wanted, got $got: $(head -c 200 "$work/answer")"
}

is_running() { # NAME: whether the process that was started under this name has not ended
    local id=${process_of[$1]}
    [ -d "/proc/$id" ] && ! grep -q '^State:.Z' "/proc/$id/status"
}

expect_running() { # DESCRIPTION
    local name
    for name in c1 c2 c3 g1; do
        is_running $name || wrong "$1: $name has ended: $(tail -n 2 "$work/$name.log" "$work/$name.out" | tr '\n' ' ')"
    done
}

write_configuration() { # VERSION
    cat <<JSON
{"version":$1,"routes":[{"name":"r1","host":"cell.example","pathPrefix":"/quotes/","kind":"non_idempotent",
"timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":2,"slackFactor":1.5,"anonymous":false}],
"services":[{"name":"s","healthPath":"/healthz","standby":false}],"limits":{},
"tenants":[{"name":"t","apiKeys":["key-1"],"weight":1}]}
JSON
}

report() { # FIELD JSON-VALUE: prints a target's report in which one field is replaced
    local service='"s"' address="\"$net.$target_number:80\"" sequence=$((++last_sequence)) born=1700000000000
    local cpu=16000 labels='["a","r1"]' more=''
    case ${1:-} in
    service) service=$2 ;;
    address) address=$2 ;;
    sequence) sequence=$2 ;;
    born) born=$2 ;;
    cpu) cpu=$2 ;;
    labels) labels=$2 ;;
    more) more=,$2 ;;
    esac
    echo "{\"service\":$service,\"address\":$address,\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\"," \
        "\"coldLeftMs\":0,\"capacity\":{\"cpu\":$cpu,\"memMb\":32768,\"gpu\":0},\"labels\":$labels," \
        "\"clockMs\":482113,\"sequence\":$sequence,\"born\":$born$more}"
}
last_sequence=0
target_number=210 # the last number of the address that a report names

configure() { # VERSION: whether some controller acknowledges the configuration
    local control
    write_configuration "$1" >"$work/configuration"
    for control in "${controls[@]}"; do
        [ "$(status -X PUT --data-binary @"$work/configuration" "http://$control/v1/config")" = 200 ] && return
    done
    return 1
}

is_configured() { # VERSION: whether some controller returns this configuration
    local control
    for control in "${controls[@]}"; do
        [ "$(status "http://$control/v1/config")" = 200 ] && grep -q "\"version\":$1," "$work/answer" && return
    done
    return 1
}

beat() { # whether some controller answers the report of a good target with 200
    local control
    report >"$work/report"
    for control in "${controls[@]}"; do
        [ "$(status -X PUT --data-binary @"$work/report" "http://$control/v1/instances/i-good")" = 200 ] && return
    done
    return 1
}

evacuate() { # METHOD DOMAIN STATUS: whether some controller answers the call with this status
    local control
    for control in "${controls[@]}"; do
        [ "$(status -X "$1" "http://$control/v1/evacuation/$2")" = "$3" ] && return
    done
    return 1
}

submit() { # ID: whether the entry host accepts a job
    [ "$(status -H 'Host: cell.example' -H 'Authorization: Bearer key-1' \
        --data '{"spec":"x","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}' "http://$front/quotes/$1")" = 200 ]
}

expect_service() { # DESCRIPTION VERSION: the cell still does what it is for
    eventually 30 configure "$2" || wrong "$1: no configuration is acknowledged any more"
    eventually 30 is_configured "$2" || wrong "$1: the new configuration is not returned"
    eventually 30 beat || wrong "$1: the report of a good target is not answered with 200"
    eventually 30 submit "$(printf '%016x' "$2")" || wrong "$1: no job is accepted"
    expect_running "$1"
    echo "checked: $1"
}

# A name that is not UTF-8 would be in each message of its process; these must end with the status for invalid settings.
timeout 10 "$bin/filbert-platform-controller" --name=$'c\xff' --ip="$net.205" --control="$net.205:$control_port" \
    --data_folder="$work/odd-name" --message_port="$message_port" >"$work/odd" 2>&1
[ $? = 2 ] || wrong "a controller starts with a name that is not UTF-8"
timeout 10 "$bin/filbert-platform-gateway" --name=g1 --failure_domain=$'a\xff' --front="$net.205:$front_port" \
    --readiness="$net.205:$ready_port" --message_port="$message_port" >"$work/odd" 2>&1
[ $? = 2 ] || wrong "an entry host starts with a failure domain that is not UTF-8"

for n in 1 2 3; do start_platform_controller $n true; done
start g1 "$bin/filbert-platform-gateway" --name=g1 --front="$front" --readiness="$net.204:$ready_port" --seeds="$seeds" \
    --message_port="$message_port" --closed_network=true --failure_domain=a
eventually 30 configure 1 || { tail -n 3 "$work"/*.log "$work"/*.out; exit 1; }
expect_service "before the odd entries" 2

brackets=$(head -c 100000 /dev/zero | tr '\0' '[')
closing=$(head -c 100000 /dev/zero | tr '\0' ']')
megabyte=$(head -c 1000000 /dev/zero | tr '\0' 'x')
odd_reports() { # CONTROL: sends all of them; only that no process ends is checked here
    local control=$1 i=0 body
    local fields=(more "\"deep\":$brackets$closing" labels "$brackets" address '"127.0.0.1:99999"' address '"nowhere"'
        address '"a:b"' address '":"' address '""' address '7' sequence 9223372036854775808 sequence 1e300 sequence -1
        born 9223372036854775807 born 18446744073709551616 cpu 18446744073709551615 cpu 1e300 cpu -5 cpu '"many"'
        address "\"$megabyte\"" labels "[\"$megabyte\"]" service 5 service null labels '[[]]' labels '"x"')
    while [ $i -lt ${#fields[@]} ]; do
        report "${fields[i]}" "${fields[i + 1]}" >"$work/odd"
        status -X PUT --data-binary @"$work/odd" "http://$control/v1/instances/i-odd$i" >/dev/null
        i=$((i + 2))
    done
    for body in '' '{' '[]' 'null' "$brackets" '{"a":' $'{"service":"\x01"}'; do
        printf '%s' "$body" >"$work/odd"
        status -X PUT --data-binary @"$work/odd" "http://$control/v1/instances/i-odd" >/dev/null
        status -X PUT --data-binary @"$work/odd" "http://$control/v1/config" >/dev/null
    done
    printf '%s' "$megabyte$megabyte$megabyte$megabyte$megabyte" >"$work/odd"
    status -X PUT --data-binary @"$work/odd" "http://$control/v1/instances/i-odd" >/dev/null
}

target_number=211
for control in "${controls[@]}"; do
    url=http://$control/v1
    report >"$work/report"
    expect "an id that is not UTF-8" 400 -X PUT --data-binary @"$work/report" "$url/instances/i-%ff%fe"
    expect "an id with a control character" 400 -X PUT --data-binary @"$work/report" "$url/instances/i-%7f"
    status -X PUT --data-binary @"$work/report" "$url/instances/i-%0d%0aX-Odd:%201" >/dev/null # the HTTP library cuts it
    expect "no id" 400 -X PUT --data-binary @"$work/report" "$url/instances/"
    expect "a long id" 400 -X PUT --data-binary @"$work/report" "$url/instances/$(head -c 900 /dev/zero | tr '\0' 'i')"
    expect "a leaving target whose id is not UTF-8" 400 -X DELETE "$url/instances/i-%c3%28"
    for method in POST DELETE; do
        expect "$method of the evacuation of a domain that is not UTF-8" 400 -X $method "$url/evacuation/%ff%fe"
        expect "$method of the evacuation of a domain with a control character" 400 -X $method "$url/evacuation/a%7f"
        expect "$method of the evacuation of no domain" 400 -X $method "$url/evacuation/"
        expect "$method of the evacuation of a long domain" 400 -X $method "$url/evacuation/$(head -c 900 /dev/zero | tr '\0' 'd')"
    done
    expect "another method for an evacuation" 405 -X PUT --data x "$url/evacuation/a"
    printf '{"service":"\xff\xfe"}' >"$work/odd"
    expect "a report that is not UTF-8" 400 -X PUT --data-binary @"$work/odd" "$url/instances/i-odd"
    expect "a configuration that is not UTF-8" 400 -X PUT --data-binary @"$work/odd" "$url/config"
    printf '\xff' >"$work/odd"
    expect "a report of one odd byte" 400 -X PUT --data-binary @"$work/odd" "$url/instances/i-odd"
    expect "a configuration of one odd byte" 400 -X PUT --data-binary @"$work/odd" "$url/config"
    odd_reports "$control"
    expect_running "odd entries at $control"
done

job='{"spec":"x","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}'
host=(-H 'Host: cell.example')
key=(-H 'Authorization: Bearer key-1')
for method in POST GET DELETE; do
    expect "$method of a path that is not UTF-8" 400 -X $method "${host[@]}" "${key[@]}" --data "$job" "http://$front/quotes/%ff%fe"
    expect "$method with a host that is not UTF-8" 400 -X $method -H $'Host: c\xff.example' "${key[@]}" --data "$job" "http://$front/quotes/1"
    expect "$method with a key that is not UTF-8" 400 -X $method "${host[@]}" -H $'Authorization: Bearer \xff\xfe' --data "$job" "http://$front/quotes/1"
done
printf '{"spec":"\xff\xfe"}' >"$work/odd"
expect "a job that is not UTF-8" 400 "${host[@]}" "${key[@]}" --data-binary @"$work/odd" "http://$front/quotes/00000000000000aa"
printf '{"spec":"x","phases":%s%s}' "$brackets" "$closing" >"$work/odd"
expect "a job with deep nesting" 400 "${host[@]}" "${key[@]}" --data-binary @"$work/odd" "http://$front/quotes/00000000000000ab"
for count in -1 2147483647 2147483648 18446744073709551615 1e300 null '"x"'; do
    echo "{\"phases\":[{\"count\":$count,\"cpu\":1}]}" >"$work/odd"
    status "${host[@]}" "${key[@]}" --data-binary @"$work/odd" "http://$front/quotes/00000000000000ac" >/dev/null
done
target_number=210
for method in POST DELETE; do
    eventually 30 evacuate $method c 404 || wrong "$method of the evacuation of an unknown domain is not answered with 404"
    eventually 30 evacuate $method b 200 || wrong "$method of an evacuation is not acknowledged"
    eventually 30 evacuate $method b 200 || wrong "$method of a repeated evacuation is not acknowledged"
done
expect_service "after the odd entries" 3

for n in 1 2 3; do kill_hard "c$n"; done
for n in 1 2 3; do start_platform_controller $n false; done
expect_service "after a restart of all controllers" 4
echo "$failures failed"
[ $failures -eq 0 ]
