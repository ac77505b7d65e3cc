# Bash completion of reedramp-ctl: source this file, or put it into bash-completion's folder.

_reedramp_ctl_options_of() {
    local common="--entry --hosts --key-file --json --help --version"
    case "$1" in
        check | publish | diff) echo "$common --base --author" ;;
        history) echo "$common --limit" ;;
        rollout) echo "$common --model --from --to --share --base --author" ;;
        watch) echo "$common --timeout" ;;
        explain) echo "$common --log" ;;
        import) echo "$common --out --publish --column --author" ;;
        *) echo "$common" ;;
    esac
}

_reedramp_ctl_words_of() {
    case "$1" in
        rollout) echo "start pause resume abort" ;;
        show) echo "model version server service organisation rollout" ;;
        watch) echo "latest" ;;
    esac
}

_reedramp_ctl() {
    local commands="check publish show diff history withdraw rollout drain watch explain bills status import result-codes"
    local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD - 1]}"
    local command="" index
    for ((index = 1; index < COMP_CWORD; ++index)); do
        if [[ " $commands " == *" ${COMP_WORDS[index]} "* ]]; then
            command="${COMP_WORDS[index]}"
            break
        fi
    done
    COMPREPLY=()
    case "$previous" in
        --key-file | --log | --out | check | publish | diff | import)
            mapfile -t COMPREPLY < <(compgen -f -- "$current")
            return
            ;;
    esac
    if [[ "$current" == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$(_reedramp_ctl_options_of "$command")" -- "$current")
    elif [[ -z "$command" ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
    elif [[ "$previous" == "$command" ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$(_reedramp_ctl_words_of "$command")" -- "$current")
    fi
}

complete -F _reedramp_ctl reedramp-ctl
