package dunlinhitch.scoring;

/** An endpoint and a query class: what a factor or a merged weight applies to. */
record WeightTarget(String store, String queryClass) {}
