package dunlinhitch.discovery.dnssd;

import java.util.List;
import org.xbill.DNS.Record;

/**
 * What one response says about one record set.
 *
 * @param records the records of the set; empty if there are none
 * @param ttlUs lifetime of the answer in microseconds
 * @param complete true if the response holds the whole set, so that a record that it does not list
 *     is absent; false if it was truncated
 * @param authoritative true if the response has the AA bit
 * @param askedAt sequence number of the query
 */
record RecordSetAnswer(
    List<Record> records, long ttlUs, boolean complete, boolean authoritative, long askedAt) {}
