package thornferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thornferry.bench.WireColumns.ListUpdate;
import thornferry.bench.WireColumns.MachineEntryColumns;
import thornferry.bench.WireColumns.MachineList;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Decodes machine lists. The simulator sends the entries of a list once, together with a number,
 * and the list updates of all instances refer to the list by that number.
 */
final class MachineListDecoder {
    private static final Map<Long, ListUpdateKind> UPDATE_KINDS =
            Map.of(
                    0L,
                    ListUpdateKind.CACHED,
                    1L,
                    ListUpdateKind.FULL,
                    2L,
                    ListUpdateKind.FAILED,
                    4L,
                    ListUpdateKind.DELTA);

    private static final Map<Long, MachineState> STATES =
            Map.of(0L, MachineState.GONE, 1L, MachineState.READY, 2L, MachineState.DRAINING);

    private final Map<Long, List<MachineEntry>> entriesByListNumber = new HashMap<>();

    /** Stores the entries of a list, in place of an earlier list with the same number. */
    void store(WireRow row) throws WireException {
        long listNumber = row.integer(MachineList.LIST_NUMBER);
        entriesByListNumber.put(listNumber, entries(row));
    }

    private static List<MachineEntry> entries(WireRow row) throws WireException {
        JsonNode items = row.value(MachineList.ENTRIES);
        if (!items.isArray()) {
            throw row.error(MachineList.ENTRIES, "not an array");
        }
        List<MachineEntry> entries = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            if (!item.isArray()) {
                throw row.error(MachineList.ENTRIES, "an entry is not an array");
            }
            entries.add(entry(new WireRow(row.message(), item)));
        }
        return entries;
    }

    private static MachineEntry entry(WireRow item) throws WireException {
        long stateCode = item.integer(MachineEntryColumns.STATE);
        MachineState state = STATES.get(stateCode);
        if (state == null) {
            throw item.error(MachineEntryColumns.STATE, "unknown state " + stateCode);
        }
        return new MachineEntry(
                item.text(MachineEntryColumns.MACHINE),
                item.textOr(MachineEntryColumns.ZONE, ""),
                item.textOr(MachineEntryColumns.KIND, ""),
                (int) item.integerOr(MachineEntryColumns.CELL, 0),
                state,
                item.numberOr(MachineEntryColumns.FREE_CORES, 0),
                item.numberOr(MachineEntryColumns.FREE_MEMORY, 0),
                item.numberOr(MachineEntryColumns.WEIGHT, 1),
                item.integerOr(MachineEntryColumns.STARTED_AT_MICROS, 0));
    }

    MachineListUpdated update(WireRow row) throws WireException {
        long kindCode = row.integer(ListUpdate.KIND);
        long version = row.integerOr(ListUpdate.VERSION, 0);
        ListUpdateKind kind = UPDATE_KINDS.get(kindCode);
        if (kind == null) {
            throw row.error(ListUpdate.KIND, "unknown kind " + kindCode);
        }
        if (kind == ListUpdateKind.FAILED) {
            return new MachineListUpdated(version, kind, List.of());
        }
        long listNumber = row.integer(ListUpdate.LIST_NUMBER);
        List<MachineEntry> entries = entriesByListNumber.get(listNumber);
        if (entries == null) {
            throw row.error("unknown list number " + listNumber);
        }
        return new MachineListUpdated(version, kind, entries);
    }
}
